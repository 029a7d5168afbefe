#pragma once

#include "berylspring/core/time.h"
#include "berylspring/routing/ejection.h"
#include "berylspring/routing/endpoint_work.h"

#include <compare>
#include <cstdint>

namespace berylspring::routing {

/** @brief Result of a routed request with regard to its endpoint. */
enum class RoutingResult {
    Ok,
    Failed, ///< Lost connection, timeout or an error of the endpoint.
    Refused, ///< No failure of the endpoint: overload, cancellation, withdrawn key or quarantine.
};

/** @brief Statistics of one endpoint from the requests that this node has sent to it. */
class EndpointTraffic
{
public:
    [[nodiscard]] EndpointTraffic withStarted() const noexcept;
    /**
     * @param latency Time from start to end of the request, measured at this node.
     * @param reportedLoad Requests in flight at the endpoint, as reported by the response.
     */
    [[nodiscard]] EndpointTraffic withFinished(RoutingResult result,
                                               core::Duration latency,
                                               std::uint32_t reportedLoad,
                                               core::TimePoint now) const noexcept;
    [[nodiscard]] EndpointTraffic withWork(const EndpointWork &work) const noexcept;

    /** @return Requests in flight from this node to the endpoint. */
    [[nodiscard]] std::uint32_t inFlight() const noexcept
    {
        return m_inFlight;
    }
    /** @return Requests in flight at the endpoint, as reported by the last response. */
    [[nodiscard]] double reportedLoad() const noexcept
    {
        return m_reportedLoad;
    }
    [[nodiscard]] core::TimePoint reportedAt() const noexcept
    {
        return m_reportedAt;
    }
    /** @return Smoothed latency of successful requests; zero before the first one. */
    [[nodiscard]] core::Duration latency() const noexcept
    {
        return m_latency;
    }
    [[nodiscard]] const Ejection &ejection() const noexcept
    {
        return m_ejection;
    }

    /** @return Slowness and outstanding work. */
    [[nodiscard]] const EndpointWork &work() const noexcept
    {
        return m_work;
    }

    [[nodiscard]] bool operator==(const EndpointTraffic &) const = default;

private:
    std::uint32_t m_inFlight = 0;
    double m_reportedLoad = 0;
    core::TimePoint m_reportedAt;
    core::Duration m_latency{};
    Ejection m_ejection;
    EndpointWork m_work;
};

}
