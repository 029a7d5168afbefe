#include "berylspring/membership/tick_monitor.h"

#include "berylspring/membership/timing.h"

namespace berylspring::membership {

TickObservation TickMonitor::observe(core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto lateness = m_lastTick ? now - *m_lastTick - TickInterval : core::Duration::zero();
    m_lastTick = now;
    if (lateness <= LateTickTolerance) {
        return {};
    }
    return {lateness, lateness > PauseThreshold};
}

}
