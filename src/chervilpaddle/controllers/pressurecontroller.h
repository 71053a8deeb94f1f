#pragma once

#include <chervilpaddle/base/clock.h>

namespace chervilpaddle {

//! Tells how much of its callers' work a backend server must be spared, from how full it is: a proportional-integral
//! controller that holds the slots nearly full and the queue short. Answers the load of a service deep in the call
//! tree that gets more calls than it can run, for longer than its callers can wait. The pressure counts classes of
//! requests: 0.4 asks to refuse two fifths of the least urgent class, 1.4 all that may be refused of it and two fifths
//! of the next. Not thread safe.
class PressureController
{
public:
    //! The highest pressure: this many classes are refused as far as they may be.
    static constexpr double highest = 3;

    //! Takes what was seen since the last call: the part of the slots that was in use on average, and how long a call
    //! that arrived now would wait for a slot.
    void update(double occupancy, Duration wait, Duration elapsed);
    double pressure() const;

private:
    double m_integral = 0;
    double m_pressure = 0;
};

} // namespace chervilpaddle
