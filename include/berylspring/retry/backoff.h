#pragma once

#include "berylspring/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace berylspring::retry {

/** @brief Pause before a retry: exponential, with full jitter, and bounded by the time that is left. */
class BackoffPolicy
{
public:
    /**
     * @param first Upper bound of the first pause; at least 1 ns.
     * @param longest Upper bound of every pause.
     */
    constexpr BackoffPolicy(core::Duration first, core::Duration longest) noexcept
        : m_first(first)
        , m_longest(longest)
    {
    }

    /**
     * @param attempt 0 for the first retry.
     * @param remaining Time that the caller still waits.
     * @param random Uniformly distributed number.
     * @return A pause of more than zero and at most half of the remaining time, so that the retry has time to be
     * answered; nothing when no time is left.
     */
    [[nodiscard]] std::optional<core::Duration>
    pause(std::uint32_t attempt, core::Duration remaining, std::uint64_t random) const noexcept;

    [[nodiscard]] auto operator<=>(const BackoffPolicy &) const = default;

private:
    core::Duration m_first;
    core::Duration m_longest;
};

}
