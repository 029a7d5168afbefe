#pragma once

#include "berylspring/core/time.h"
#include "berylspring/routing/cost_table.h"
#include "berylspring/routing/endpoint_traffic.h"
#include "berylspring/routing/endpoint_work.h"

#include <chrono>
#include <cstddef>

namespace berylspring::routing {

/** @brief When requests are routed by their cost. */
enum class RoutingPolicy {
    Auto, ///< For each service while its endpoints report their pace.
    Load, ///< Never.
    Cost, ///< Always.
};

/** @brief Learned costs of one service and the mean slowness of its endpoints. Not thread-safe. */
class ServiceWork
{
public:
    /** Time for which a report of the pace keeps the policy Auto active; covers pauses of a service that is rarely
     * used. */
    static constexpr core::Duration PaceLifetime = std::chrono::seconds(10);

    /** @brief Takes over a response. @return The new state of the endpoint that `work` describes. */
    [[nodiscard]] EndpointWork
    record(const EndpointWork &work, const WorkReport &report, RoutingResult result, core::TimePoint now);
    /** @brief Excludes the slowness of an endpoint that has left from the mean. */
    void forget(const EndpointWork &work) noexcept;

    /** @return Whether requests are routed by cost. */
    [[nodiscard]] bool isByCost(RoutingPolicy policy, core::TimePoint now) const noexcept;
    [[nodiscard]] const CostTable &costs() const noexcept
    {
        return m_costs;
    }
    /** @return Slowness relative to the mean of the service's endpoints. */
    [[nodiscard]] double
    slowness(const EndpointWork &work, core::TimePoint now, core::Duration halfLife) const noexcept;

private:
    [[nodiscard]] double meanLogSlowness() const noexcept
    {
        return m_measured == 0 ? 0 : m_sumLogSlowness / static_cast<double>(m_measured);
    }

    CostTable m_costs;
    double m_sumLogSlowness = 0; ///< Over the endpoints with samples.
    std::size_t m_measured = 0; ///< Endpoints with samples.
    core::TimePoint m_paceAt; ///< Last report of any endpoint.
};

}
