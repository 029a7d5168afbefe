#pragma once

#include "berylspring/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace berylspring::retry {

/** @brief Delay before a retry: exponential backoff with full jitter, bounded by the remaining time. */
class BackoffPolicy
{
public:
    /**
     * @param first Upper bound of the first delay; at least 1 ns.
     * @param longest Upper bound of every delay.
     */
    constexpr BackoffPolicy(core::Duration first, core::Duration longest) noexcept
        : m_first(first)
        , m_longest(longest)
    {
    }

    /**
     * @param attempt 0 for the first retry.
     * @param remaining Time for which the caller still waits.
     * @param random Uniformly distributed random number.
     * @return A delay of more than zero and at most half of the remaining time, which leaves time for the reply to the
     * retry; nothing if no time remains.
     */
    [[nodiscard]] std::optional<core::Duration>
    pause(std::uint32_t attempt, core::Duration remaining, std::uint64_t random) const noexcept;

    [[nodiscard]] auto operator<=>(const BackoffPolicy &) const = default;

private:
    core::Duration m_first;
    core::Duration m_longest;
};

}
