#pragma once

#include "berylspring/core/time.h"

#include <cstddef>

namespace berylspring::limit {

/** @brief The part of a limit that is assigned to one data centre. */
class Share
{
public:
    Share() = default;
    /**
     * @param rate Tokens per second.
     * @param capacity Tokens.
     */
    Share(double rate, double capacity)
        : m_rate(rate)
        , m_capacity(capacity)
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
    [[nodiscard]] bool operator==(const Share &) const = default;

private:
    double m_rate = 0;
    double m_capacity = 0;
};

/** @brief Rate and burst of a workspace over all hosts. */
class WorkspaceLimit
{
public:
    /** @brief The burst has to cover the rate for this time, to make up for delays between hosts. */
    static constexpr double MinBurstSeconds = 0.010;

    /**
     * @param rate Requests per second.
     * @param burst Requests.
     */
    WorkspaceLimit(double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
    {
    }

    [[nodiscard]] double rate() const noexcept
    {
        return m_rate;
    }
    [[nodiscard]] double burst() const noexcept
    {
        return m_burst;
    }
    /** @return Whether the rate is positive and the burst at least one request and rate x MinBurstSeconds. */
    [[nodiscard]] bool isValid() const noexcept
    {
        return m_rate > 0 && m_burst >= 1 && m_burst >= m_rate * MinBurstSeconds;
    }
    /** @return Equal share of one data centre out of the given number; 0 counts as 1. */
    [[nodiscard]] Share share(std::size_t dataCentres) const noexcept
    {
        const auto count = static_cast<double>(dataCentres == 0 ? 1 : dataCentres);
        return {m_rate / count, m_burst / count};
    }
    [[nodiscard]] bool operator==(const WorkspaceLimit &) const = default;

private:
    double m_rate;
    double m_burst;
};

}
