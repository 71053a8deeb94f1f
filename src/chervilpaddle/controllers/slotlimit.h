#pragma once

#include <chervilpaddle/base/clock.h>

namespace chervilpaddle {

//! How many calls may be at the backend server at once: its slots, fewer for a while after a cold start.
//! Not thread safe.
class SlotLimit
{
public:
    explicit SlotLimit(int slots);

    int limit() const;
    int slots() const;
    void setSlots(int slots);
    //! The backend server has just started, or failed to take connections: begin with few slots.
    void markCold();
    //! One call was answered; while cold, each opens room for another, which doubles the limit every round.
    void recordSuccess();
    //! The backend server refused a call though the limit allowed it.
    void recordRefusal();

private:
    int m_slots;
    double m_limit;
};

} // namespace chervilpaddle
