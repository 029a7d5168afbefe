#pragma once

#include "berylspring/core/time.h"

#include <algorithm>
#include <chrono>

namespace berylspring::limit {

/** @return The duration in seconds. */
[[nodiscard]] inline double seconds(core::Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

/** @return The duration of a number of seconds between 0 and 1000, rounded to nanoseconds. */
[[nodiscard]] inline core::Duration durationOf(double secondCount) noexcept
{
    constexpr double MaxSeconds = 1000;
    const double bounded = std::clamp(secondCount, 0.0, MaxSeconds);
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(bounded));
}

/** @brief Immutable token bucket: rate, capacity and the token count at a point in time. */
class TokenBucket
{
public:
    /**
     * @param rate Tokens per second.
     * @param capacity Tokens.
     * @param tokens Tokens at updatedAt; the excess over the capacity is dropped. A negative count is a debt.
     * @param updatedAt Time of the token count.
     */
    TokenBucket(double rate, double capacity, double tokens, core::TimePoint updatedAt)
        : m_rate(rate)
        , m_capacity(capacity)
        , m_tokens(std::min(tokens, std::max(0.0, capacity)))
        , m_updatedAt(updatedAt)
    {
    }

    [[nodiscard]] double rate() const noexcept
    {
        return m_rate;
    }
    [[nodiscard]] double capacity() const noexcept
    {
        return m_capacity;
    }
    [[nodiscard]] double tokens() const noexcept
    {
        return m_tokens;
    }
    [[nodiscard]] core::TimePoint updatedAt() const noexcept
    {
        return m_updatedAt;
    }

    /** @return The bucket refilled up to now; unchanged if now is not after updatedAt. */
    [[nodiscard]] TokenBucket refilled(core::TimePoint now) const
    {
        if (now <= m_updatedAt) {
            return *this;
        }
        return {m_rate, m_capacity, m_tokens + m_rate * seconds(now - m_updatedAt), now};
    }
    /** @return The bucket refilled up to now, less the given tokens; a negative number adds tokens. */
    [[nodiscard]] TokenBucket taken(double tokens, core::TimePoint now) const
    {
        const TokenBucket current = refilled(now);
        return {m_rate, m_capacity, current.m_tokens - tokens, current.m_updatedAt};
    }
    [[nodiscard]] TokenBucket withRate(double rate) const
    {
        return {rate, m_capacity, m_tokens, m_updatedAt};
    }
    [[nodiscard]] TokenBucket withCapacity(double capacity) const
    {
        return {m_rate, capacity, m_tokens, m_updatedAt};
    }
    [[nodiscard]] bool operator==(const TokenBucket &) const = default;

private:
    double m_rate;
    double m_capacity;
    double m_tokens;
    core::TimePoint m_updatedAt;
};

}
