#include "berylspring/routing/service_work.h"

#include <cmath>

namespace berylspring::routing {

EndpointWork
ServiceWork::record(const EndpointWork &work, const WorkReport &report, RoutingResult result, core::TimePoint now)
{
    EndpointWork next = work.withEnded(report.expectedCost);
    if (report.hasAnswer) {
        next = next.withReport(report, now);
        m_paceAt = report.pace > 0 ? now : m_paceAt;
    }
    const double seconds = std::chrono::duration<double>(report.serviceTime).count();
    const CostEstimate expected = m_costs.estimate(report.costClass);
    if (result == RoutingResult::Refused || seconds <= 0 || expected.mean() <= 0) {
        return next;
    }
    const double ratio = seconds / expected.mean();
    const bool isFirst = !work.hasTime();
    // The mean logarithm of a ratio is below 0 if times are dispersed, so that an endpoint starts at the mean of all.
    const double before = isFirst ? meanLogSlowness() : work.logSlowness();
    const bool isCostSample = result == RoutingResult::Ok;
    // The time of a failure, for example until the deadline, is a lower bound: it can show that the endpoint is slow.
    if (!isCostSample && std::log(ratio) <= before) {
        return next;
    }
    next = next.withLogSlowness(before).withTime(ratio, expected.spread() / expected.mean(), report.pace);
    m_sumLogSlowness += next.logSlowness() - (isFirst ? 0 : work.logSlowness());
    m_measured += isFirst ? 1 : 0;
    if (isCostSample) {
        m_costs.record(report.costClass, seconds / std::exp(next.logSlowness() - meanLogSlowness()), now);
    }
    return next;
}

void ServiceWork::forget(const EndpointWork &work) noexcept
{
    if (work.hasTime()) {
        m_sumLogSlowness -= work.logSlowness();
        --m_measured;
    }
}

bool ServiceWork::isByCost(RoutingPolicy policy, core::TimePoint now) const noexcept
{
    if (policy == RoutingPolicy::Auto) {
        return m_paceAt != core::TimePoint() && now - m_paceAt < PaceLifetime;
    }
    return policy == RoutingPolicy::Cost;
}

double ServiceWork::slowness(const EndpointWork &work, core::TimePoint now, core::Duration halfLife) const noexcept
{
    return std::exp(work.logSlownessAt(now, halfLife) - (work.hasTime() ? meanLogSlowness() : 0));
}

}
