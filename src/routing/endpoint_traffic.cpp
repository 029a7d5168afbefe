#include "berylspring/routing/endpoint_traffic.h"

namespace berylspring::routing {

namespace {

/** Divisor of the exponentially weighted average: a new sample has a weight of 1/8. */
constexpr int LatencySmoothingDivisor = 8;

}

EndpointTraffic EndpointTraffic::withStarted() const noexcept
{
    EndpointTraffic next = *this;
    ++next.m_inFlight;
    return next;
}

EndpointTraffic EndpointTraffic::withFinished(RoutingResult result,
                                              core::Duration latency,
                                              std::uint32_t reportedLoad,
                                              core::TimePoint now) const noexcept
{
    EndpointTraffic next = *this;
    next.m_inFlight -= m_inFlight > 0 ? 1 : 0;
    if (result == RoutingResult::Ok) {
        const bool isFirst = m_latency == core::Duration::zero();
        next.m_latency = isFirst ? latency : m_latency + (latency - m_latency) / LatencySmoothingDivisor;
    }
    if (result != RoutingResult::Failed) {
        next.m_reportedLoad = reportedLoad;
        next.m_reportedAt = now;
    }
    if (result != RoutingResult::Refused) {
        next.m_ejection = m_ejection.withResult(result == RoutingResult::Ok, now);
    }
    return next;
}

EndpointTraffic EndpointTraffic::withWork(const EndpointWork &work) const noexcept
{
    EndpointTraffic next = *this;
    next.m_work = work;
    return next;
}

}
