#pragma once

#include "berylspring/core/time.h"
#include "berylspring/routing/ejection.h"

#include <compare>
#include <cstdint>

namespace berylspring::routing {

/** @brief How a routed request ended, as far as it concerns the endpoint. */
enum class RoutingResult {
    Ok,
    Failed, ///< Lost connection, no answer in time or an error of the endpoint.
    Refused, ///< Not the endpoint's fault: overload, a cancelled request, a key, a quarantine.
};

/** @brief What a node has seen of an endpoint through its own requests. */
class EndpointTraffic
{
public:
    [[nodiscard]] EndpointTraffic withStarted() const noexcept;
    /**
     * @param latency From start to end at this node.
     * @param reportedLoad Requests in flight that the response reported.
     */
    [[nodiscard]] EndpointTraffic withFinished(RoutingResult result,
                                               core::Duration latency,
                                               std::uint32_t reportedLoad,
                                               core::TimePoint now) const noexcept;

    /** @return This node's own requests in flight. */
    [[nodiscard]] std::uint32_t inFlight() const noexcept
    {
        return m_inFlight;
    }
    /** @return Load by the last response. */
    [[nodiscard]] double reportedLoad() const noexcept
    {
        return m_reportedLoad;
    }
    [[nodiscard]] core::TimePoint reportedAt() const noexcept
    {
        return m_reportedAt;
    }
    /** @return Smoothed latency of successful requests; zero before the first. */
    [[nodiscard]] core::Duration latency() const noexcept
    {
        return m_latency;
    }
    [[nodiscard]] const Ejection &ejection() const noexcept
    {
        return m_ejection;
    }

    [[nodiscard]] bool operator==(const EndpointTraffic &) const = default;

private:
    std::uint32_t m_inFlight = 0;
    double m_reportedLoad = 0;
    core::TimePoint m_reportedAt;
    core::Duration m_latency{};
    Ejection m_ejection;
};

}
