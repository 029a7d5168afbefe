#pragma once

#include "berylspring/core/time.h"

#include <compare>
#include <cstddef>

namespace berylspring::admission {

/**
 * @brief Token bucket for the starts of requests, which is empty at first.
 *
 * It is kept as the time at which it would be full again (generic cell rate algorithm), in whole nanoseconds, so that
 * no rounding adds up: any interval of the length t holds at most burst + rate x t starts.
 */
class StartRate
{
public:
    /**
     * @param rate Tokens per second; positive.
     * @param burst Number of tokens in a full bucket; at least 1.
     */
    StartRate(double rate, double burst, core::TimePoint now);

    /** @return Time at which the next token is due; it has passed if there is one. */
    [[nodiscard]] core::TimePoint nextAt() const noexcept
    {
        return m_fullAt - m_tolerance;
    }
    /** @return Time at which the last one of `count` tokens is due, counted from the next one; `count` is positive. */
    [[nodiscard]] core::TimePoint dueAt(std::size_t count, core::TimePoint now) const noexcept;
    /** @return Number of tokens that are due from now until `end`, with those that the bucket holds now. */
    [[nodiscard]] std::size_t dueUntil(core::TimePoint end, core::TimePoint now) const noexcept;
    [[nodiscard]] bool hasToken(core::TimePoint now) const noexcept
    {
        return now >= nextAt();
    }
    /** @return The bucket without one token; only if it has one. */
    [[nodiscard]] StartRate withStart(core::TimePoint now) const noexcept;
    /** @return Time between two tokens. */
    [[nodiscard]] core::Duration interval() const noexcept
    {
        return m_interval;
    }

    [[nodiscard]] bool operator==(const StartRate &) const = default;

private:
    core::Duration m_interval;
    core::Duration m_tolerance; ///< Time in which a bucket with one token fills up.
    core::TimePoint m_fullAt; ///< When the bucket is full, less one interval.
};

}
