#include "berylspring/routing/endpoint_work.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>

namespace berylspring::routing {

namespace {

/** Smallest weight of a sample of the slowness, so that about the last 16 requests count. */
constexpr double MinGain = 1.0 / 16;
/** Requests that the initial slowness of 1 counts for. */
constexpr std::uint32_t PriorSamples = 4;
/** Limits how far dispersed times slow the learning: an endpoint that becomes slow also disperses the times. */
constexpr double MaxRelativeSpread = 1.5;
/** A sample counts as at most twice or half the expected time, so that one long request can't reorder endpoints. */
constexpr double MaxLogSample = std::numbers::ln2;
/** Weight of a sample in the comparison of reported pace and observed slowness. */
constexpr double TrustGain = 1.0 / 64;
/** Variance up to which a report is believed before observations confirm it; a pace of 110 has 0.01. */
constexpr double PriorPaceVariance = 0.02;
/** A report changes the slowness by at most a factor of 3, for reports that are far off for a short time. */
const double maxLogPaceChange = std::log(3.0);

}

double reportDecay(core::TimePoint reportedAt, core::TimePoint now, core::Duration halfLife) noexcept
{
    if (halfLife <= core::Duration::zero()) {
        return 0;
    }
    const auto age = static_cast<double>(std::max(core::Duration::zero(), now - reportedAt).count());
    return std::exp2(-age / static_cast<double>(halfLife.count()));
}

EndpointWork EndpointWork::withStarted(double cost) const noexcept
{
    EndpointWork next = *this;
    next.m_inFlightCost += cost;
    next.m_sentSinceReport += cost;
    ++next.m_chosen;
    return next;
}

EndpointWork EndpointWork::withEnded(double cost) const noexcept
{
    EndpointWork next = *this;
    next.m_inFlightCost = std::max(0.0, m_inFlightCost - cost);
    return next;
}

EndpointWork EndpointWork::withReport(const WorkReport &report, core::TimePoint now) const noexcept
{
    const double pace = report.pace;
    EndpointWork next = *this;
    next.m_reportedWork = std::isfinite(report.outstandingWork) ? std::max(0.0, report.outstandingWork) : 0;
    next.m_wait = std::max(0.0, std::chrono::duration<double>(report.waitTime).count());
    next.m_reportedAt = now;
    next.m_sentSinceReport = 0;
    if (pace > 0 && std::isfinite(pace)) {
        next.m_logPace = std::log(pace);
        next.m_paceAt = now;
    }
    return next;
}

EndpointWork EndpointWork::withLogSlowness(double logSlowness) const noexcept
{
    EndpointWork next = *this;
    next.m_logSlowness = logSlowness;
    return next;
}

EndpointWork EndpointWork::withTime(double ratio, double relativeSpread, double pace) const noexcept
{
    EndpointWork next = *this;
    const double spread = std::min(relativeSpread, MaxRelativeSpread);
    const double precision = 1 / (1 + spread * spread);
    const double gain = std::max(MinGain, 1.0 / (m_samples + PriorSamples + 1)) * precision;
    const double change = std::log(ratio) - m_logSlowness;
    double explained = 0;
    if (pace > 0 && std::isfinite(pace)) {
        const double paceChange = std::clamp(std::log(pace) - m_meanLogPace, -maxLogPaceChange, maxLogPaceChange);
        const double clipped = std::clamp(change, -maxLogPaceChange, maxLogPaceChange);
        explained = paceTrust() * paceChange;
        next.m_meanLogPace += gain * paceChange;
        next.m_paceVariance += TrustGain * (paceChange * paceChange - m_paceVariance);
        next.m_paceCovariance += TrustGain * (paceChange * clipped - m_paceCovariance);
    }
    next.m_logSlowness += gain * std::clamp(change - explained, -MaxLogSample, MaxLogSample);
    next.m_samples = std::min<std::uint32_t>(m_samples + 1, static_cast<std::uint32_t>(1 / MinGain));
    return next;
}

/** Slope of the observed slowness over the reported pace: 1 for a true report, 0 for one without relation to it. */
double EndpointWork::paceTrust() const noexcept
{
    return std::clamp((m_paceCovariance + PriorPaceVariance) / (m_paceVariance + PriorPaceVariance), 0.0, 1.0);
}

double EndpointWork::logSlownessAt(core::TimePoint now, core::Duration halfLife) const noexcept
{
    if (m_paceAt == core::TimePoint()) {
        return m_logSlowness;
    }
    const double change = std::clamp(m_logPace - m_meanLogPace, -maxLogPaceChange, maxLogPaceChange);
    return m_logSlowness + paceTrust() * change * reportDecay(m_paceAt, now, halfLife);
}

double EndpointWork::observedWait(core::TimePoint now, core::Duration halfLife) const noexcept
{
    return m_wait * reportDecay(m_reportedAt, now, halfLife);
}

double EndpointWork::outstanding(double slowness,
                                 double otherReport,
                                 core::TimePoint now,
                                 core::Duration halfLife) const noexcept
{
    const double reported = m_reportedWork / slowness * reportDecay(m_reportedAt, now, halfLife);
    return std::max(m_inFlightCost, std::max(reported, otherReport) + m_sentSinceReport);
}

}
