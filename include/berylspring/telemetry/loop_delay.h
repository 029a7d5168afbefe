#pragma once

#include "berylspring/core/time.h"

#include <compare>
#include <cstdint>

namespace berylspring::telemetry {

/**
 * @brief Lateness of timers, which is the time for which other work keeps the threads of the event loop busy.
 * Immutable.
 */
class LoopDelay
{
public:
    /** @param due Time for which the timer was set. */
    [[nodiscard]] LoopDelay withTimer(core::TimePoint due, core::TimePoint now) const noexcept;
    /** @return Mean lateness; 0 without timers. */
    [[nodiscard]] core::Duration mean() const noexcept;
    [[nodiscard]] core::Duration longest() const noexcept
    {
        return m_longest;
    }
    [[nodiscard]] bool operator==(const LoopDelay &) const = default;

private:
    std::uint32_t m_timers = 0;
    core::Duration m_sum{};
    core::Duration m_longest{};
};

}
