#include <chervilpaddle/controllers/pressurecontroller.h>

#include <algorithm>

namespace chervilpaddle {

namespace {

//! Leaves room for the calls that parents already running still make.
constexpr double wantedOccupancy = 0.93;
//! A wait of this length counts as a whole class too much; most callers can spare it.
constexpr Duration longWait = std::chrono::milliseconds(80);
constexpr double highestError = 1;
constexpr double lowestError = -0.4;
//! Classes a second for an error of one. A request's calls last for about half a second, so that a faster controller
//! would act on what it has already refused.
constexpr double integralGain = 1.0;
constexpr double proportionalGain = 0.3;

} // namespace

void PressureController::update(double occupancy, Duration wait, Duration elapsed)
{
    const double waiting = toSeconds(wait) / toSeconds(longWait);
    const double error = std::clamp(std::min(occupancy, 1.0) - wantedOccupancy + waiting, lowestError, highestError);
    m_integral = std::clamp(m_integral + integralGain * error * toSeconds(elapsed), 0.0, highest);
    m_pressure = std::clamp(m_integral + proportionalGain * std::max(error, 0.0) * (m_integral > 0 ? 1 : 0), 0.0, highest);
}

double PressureController::pressure() const
{
    return m_pressure;
}

} // namespace chervilpaddle
