#pragma once

#include "berylspring/core/time.h"

#include <compare>
#include <mutex>
#include <optional>

namespace berylspring::membership {

/** @brief Delay of a tick against TickInterval. */
struct TickObservation
{
    core::Duration lateness{0}; ///< Zero when within the tolerance.
    bool isPause = false; ///< The process did not run for longer than load on the machine explains.
    [[nodiscard]] auto operator<=>(const TickObservation &) const = default;
};

/** @brief Measures the time between ticks to detect late timers and pauses (SIGSTOP) of this process. */
class TickMonitor
{
public:
    [[nodiscard]] TickObservation observe(core::TimePoint now);

private:
    std::mutex m_mutex;
    std::optional<core::TimePoint> m_lastTick;
};

}
