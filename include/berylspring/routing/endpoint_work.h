#pragma once

#include "berylspring/core/time.h"
#include "berylspring/routing/cost_table.h"

#include <compare>
#include <cstdint>

namespace berylspring::routing {

/** @brief What the response to a request tells about the work of its endpoint. */
struct WorkReport
{
    CostClass costClass = CostClass::None;
    double expectedCost = 0; ///< As returned by Router::started().
    core::Duration serviceTime{}; ///< Time of the request on its endpoint; zero: not known.
    core::Duration waitTime{}; ///< Time of the request outside of its endpoint, as observed by this node.
    bool hasAnswer = false; ///< The response comes from the endpoint's node, so that the next two figures are valid.
    double outstandingWork = 0; ///< Seconds, in the endpoint's own time.
    double pace = 0; ///< 1: as usual, 2: twice as long; 0: not reported.
    [[nodiscard]] bool operator==(const WorkReport &) const = default;
};

/**
 * @brief Slowness and outstanding work of an endpoint, as far as one entry node knows them.
 *
 * Slowness is the ratio of observed service time and expected cost. It is averaged as a logarithm and each sample is
 * clipped, so that a rare long request has a bounded effect.
 */
class EndpointWork
{
public:
    /** @brief Records that a request was sent. @param cost Its expected cost in seconds. */
    [[nodiscard]] EndpointWork withStarted(double cost) const noexcept;
    /** @brief Records that a request has ended. @param cost As in withStarted(). */
    [[nodiscard]] EndpointWork withEnded(double cost) const noexcept;
    /** @brief Takes over the outstanding work, the pace and the wait of a response. */
    [[nodiscard]] EndpointWork withReport(const WorkReport &report, core::TimePoint now) const noexcept;
    [[nodiscard]] EndpointWork withLogSlowness(double logSlowness) const noexcept;
    /**
     * @brief Updates the slowness by one service time.
     * @param ratio Service time divided by the expected cost, positive.
     * @param relativeSpread Standard deviation of the cost divided by its mean; a higher one lowers the sample's
     * weight.
     * @param pace Pace reported with the response; 0: none.
     */
    [[nodiscard]] EndpointWork withTime(double ratio, double relativeSpread, double pace) const noexcept;

    /** @return Natural logarithm of the long-term slowness. */
    [[nodiscard]] double logSlowness() const noexcept
    {
        return m_logSlowness;
    }
    /** @return Natural logarithm of the current slowness: the long-term one, corrected by a recent report of the pace.
     */
    [[nodiscard]] double logSlownessAt(core::TimePoint now, core::Duration halfLife) const noexcept;
    /**
     * @return Work at the endpoint in seconds at slowness 1: what this node has in flight, or the decayed report plus
     *         what was sent since, whichever is more.
     * @param slowness Converts the report, which is in the endpoint's own time.
     * @param otherReport Work known from another report, in seconds at slowness 1, already decayed.
     */
    [[nodiscard]] double
    outstanding(double slowness, double otherReport, core::TimePoint now, core::Duration halfLife) const noexcept;
    /** @return Whether the last response is younger than two half-lives. */
    [[nodiscard]] bool hasRecentReport(core::TimePoint now, core::Duration halfLife) const noexcept
    {
        return m_reportedAt != core::TimePoint() && now - m_reportedAt < 2 * halfLife;
    }
    /** @return Time of the last response; the epoch when there was none. */
    [[nodiscard]] core::TimePoint reportedAt() const noexcept
    {
        return m_reportedAt;
    }
    /** @return Whether a service time has been observed. */
    [[nodiscard]] bool hasTime() const noexcept
    {
        return m_samples > 0;
    }
    /**
     * @return Wait of the last request outside of its endpoint in seconds, decayed. A report that is stuck at idle
     * can't hide it.
     */
    [[nodiscard]] double observedWait(core::TimePoint now, core::Duration halfLife) const noexcept;
    /** @return Requests sent to the endpoint so far. */
    [[nodiscard]] std::uint64_t chosen() const noexcept
    {
        return m_chosen;
    }

    [[nodiscard]] bool operator==(const EndpointWork &) const = default;

private:
    [[nodiscard]] double paceTrust() const noexcept;

    double m_inFlightCost = 0;
    double m_sentSinceReport = 0;
    double m_reportedWork = 0;
    double m_wait = 0;
    core::TimePoint m_reportedAt;
    double m_logSlowness = 0;
    std::uint32_t m_samples = 0; ///< Up to the number at which the weight of a sample is constant.
    double m_logPace = 0; ///< Last reported pace.
    double m_meanLogPace = 0;
    core::TimePoint m_paceAt;
    /** Decayed variance of the reported pace and its covariance with the observed slowness. */
    double m_paceVariance = 0;
    double m_paceCovariance = 0;
    std::uint64_t m_chosen = 0;
};

/** @return Factor 0 to 1 by which a report of this time has lost its value; 0 if the half-life is 0. */
[[nodiscard]] double reportDecay(core::TimePoint reportedAt, core::TimePoint now, core::Duration halfLife) noexcept;

}
