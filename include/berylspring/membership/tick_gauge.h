#pragma once

#include "berylspring/core/time.h"

#include <compare>
#include <mutex>
#include <optional>

namespace berylspring::membership {

/** @brief How a tick came compared with its plan. */
struct TickObservation
{
    core::Duration lateness{0}; ///< Zero when within the tolerance.
    bool isPause = false; ///< The process did not run for longer than a busy machine explains.
    [[nodiscard]] auto operator<=>(const TickObservation &) const = default;
};

/** @brief Compares ticks with their interval, to detect a late timer and a pause (SIGSTOP) of the own process. */
class TickGauge
{
public:
    [[nodiscard]] TickObservation observe(core::TimePoint now);

private:
    std::mutex m_mutex;
    std::optional<core::TimePoint> m_lastTick;
};

}
