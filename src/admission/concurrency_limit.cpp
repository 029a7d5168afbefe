#include "berylspring/admission/concurrency_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace berylspring::admission {

namespace {

using namespace std::chrono_literals;

/** A window ends with enough samples for a stable mean, or after MaxWindow with at least MinSamples. */
constexpr core::Duration MinWindow = 50ms;
constexpr core::Duration MaxWindow = 500ms;
constexpr std::uint32_t TargetSamples = 100;
constexpr std::uint32_t MinSamples = 10;
/**
 * A deep and short trial costs less throughput than a shallow one, as the number of samples needed falls with the
 * square of the cut. With 100 samples the ratio of two means has a standard deviation of about 10%, which is enough to
 * distinguish ratios of 0.5 and 1.
 */
constexpr std::uint32_t TargetTrialSamples = 100;
constexpr core::Duration MaxTrialWindow = 1000ms;
/** Samples after which a trial that has clearly failed ends early, as it costs throughput; a later one may follow. */
constexpr std::uint32_t TrialCheckSamples = 30;
constexpr double TrialFailureLatencyRatio = 0.9;

constexpr double SaturationRatio = 0.8;
constexpr double TolerableErrorRatio = 0.1;
constexpr double ErrorLimitFactor = 0.9;
/** Ratio of latency to baseline above which a rule assumes queueing inside the endpoint. */
constexpr double LatencyTolerance = 1.4;
constexpr double GrowthFactor = 1.1;
/** Growth per window, in requests, close to the limit at which the endpoint was last found overloaded. */
constexpr double GrowthNearKnee = 0.25;
constexpr double NearKneeRatio = 0.8;
constexpr double TrialLimitFactor = 0.5;
/** A baseline measured under contention would hide the contention, so trials also run periodically. */
constexpr core::Duration TrialInterval = 30s;
constexpr double BaselineSmoothing = 0.1;
/** Slower than BaselineSmoothing: a baseline that rises fast follows a slowly growing limit into contention. */
constexpr double BaselineRiseSmoothing = 0.01;
constexpr double GradientSmoothing = 0.2;
/** Requests that started before a cut still reflect the previous limit. Time to skip, in mean latencies. */
constexpr int SettlingLatencies = 1;
constexpr double MinGradient = 0.5;
constexpr double AimdLimitFactor = 0.9;

double secondsOf(core::Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

core::Duration durationOf(double seconds) noexcept
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

}

double ConcurrencyLimit::Window::meanLatency() const noexcept
{
    return samples > errors ? latencySum / (samples - errors) : 0;
}

double ConcurrencyLimit::Window::nestedLatency() const noexcept
{
    return inFlightSum > 0 ? meanLatency() * nestedSum / inFlightSum : 0;
}

ConcurrencyLimit::ConcurrencyLimit(LimitRule rule, std::uint32_t slots, core::TimePoint now)
    : m_rule(rule)
    , m_slots(slots)
    , m_limit(slots)
    , m_lastTrial(now)
{
    openWindow(now, core::Duration::zero());
}

std::uint32_t ConcurrencyLimit::limit() const noexcept
{
    return static_cast<std::uint32_t>(m_limit);
}

ConcurrencyLimit ConcurrencyLimit::withSlots(std::uint32_t slots, core::TimePoint now) const
{
    if (m_slots == 0 || slots == 0) {
        return ConcurrencyLimit(m_rule, slots, now);
    }
    ConcurrencyLimit next = *this;
    if (slots != m_slots) {
        next.m_slots = slots;
        next.m_knee.reset();
        next.m_trial.reset();
        next.setLimit(m_limit * slots / m_slots);
        next.openWindow(now, core::Duration::zero());
    }
    return next;
}

ConcurrencyLimit ConcurrencyLimit::withSample(const LimitSample &sample, core::TimePoint now) const
{
    ConcurrencyLimit next = *this;
    if (m_slots == 0 || m_rule == LimitRule::Fixed || next.isSettling(sample, now)) {
        return next;
    }
    Window &window = next.m_window;
    ++window.samples;
    window.inFlightSum += sample.inFlight;
    window.nestedSum += std::min(sample.nestedInFlight, sample.inFlight);
    if (sample.isOverloadError) {
        ++window.errors;
    } else {
        window.latencySum += secondsOf(sample.latency);
    }
    if (next.isWindowComplete(now)) {
        next.applyRule(now);
    }
    return next;
}

bool ConcurrencyLimit::isSettling(const LimitSample &sample, core::TimePoint now) noexcept
{
    if (now >= m_window.countsFrom) {
        return false;
    }
    if (now - sample.latency >= m_window.openedAt && ++m_window.startedInside >= SettlingLatencies * limit()) {
        // Enough requests have started and finished under the new limit: latency has fallen since the last window.
        m_window.countsFrom = now;
    }
    return true;
}

bool ConcurrencyLimit::isWindowComplete(core::TimePoint now) const noexcept
{
    if (m_trial && m_window.samples % TrialCheckSamples == 0
        && comparableLatency() >= TrialFailureLatencyRatio * m_trial->latencyBefore) {
        return true;
    }
    const core::Duration length = now - m_window.countsFrom;
    const auto wanted = std::max(m_trial ? TargetTrialSamples : TargetSamples, 2 * limit());
    return (length >= MinWindow && m_window.samples >= wanted)
           || (length >= (m_trial ? MaxTrialWindow : MaxWindow) && m_window.samples >= MinSamples);
}

bool ConcurrencyLimit::isSaturated() const noexcept
{
    return m_window.inFlightSum >= SaturationRatio * limit() * m_window.samples;
}

bool ConcurrencyLimit::hasErrors() const noexcept
{
    return m_window.errors > TolerableErrorRatio * m_window.samples;
}

double ConcurrencyLimit::comparableLatency() const noexcept
{
    const double nested = m_window.nestedLatency();
    return m_window.meanLatency() - nested + m_nestedLatency.value_or(nested);
}

void ConcurrencyLimit::learnNestedLatency() noexcept
{
    const double nested = m_window.nestedLatency();
    const double known = m_nestedLatency.value_or(nested);
    m_nestedLatency = known + (nested < known ? BaselineSmoothing : BaselineRiseSmoothing) * (nested - known);
}

void ConcurrencyLimit::applyRule(core::TimePoint now)
{
    const double before = m_limit;
    switch (m_rule) {
    case LimitRule::Elasticity:
        applyElasticity(now);
        break;
    case LimitRule::Gradient:
        applyGradient();
        break;
    case LimitRule::Aimd:
        applyAimd();
        break;
    case LimitRule::Fixed:
        break;
    }
    const bool wasCut = m_limit < before;
    openWindow(now, wasCut ? durationOf(SettlingLatencies * m_window.meanLatency()) : core::Duration::zero());
}

void ConcurrencyLimit::cutAfterErrors()
{
    m_knee = m_limit;
    m_trial.reset();
    setLimit(m_limit * ErrorLimitFactor);
}

void ConcurrencyLimit::applyElasticity(core::TimePoint now)
{
    if (!m_trial) {
        learnNestedLatency();
    }
    const double latency = comparableLatency();
    if (hasErrors()) {
        cutAfterErrors();
    } else if (m_trial) {
        evaluateTrial(now);
    } else if (!isSaturated()) {
        m_baseline = std::min(m_baseline.value_or(latency), latency);
    } else if (!m_baseline || now - m_lastTrial >= TrialInterval) {
        beginTrial(now);
    } else if (latency > LatencyTolerance * *m_baseline) {
        // The first slow window may span a change of the service time; a trial is compared with a window after it.
        if (std::exchange(m_wasLastWindowSlow, true)) {
            beginTrial(now);
        }
    } else {
        m_wasLastWindowSlow = false;
        const double smoothing = latency < *m_baseline ? BaselineSmoothing : BaselineRiseSmoothing;
        *m_baseline += smoothing * (latency - *m_baseline);
        grow();
    }
}

void ConcurrencyLimit::beginTrial(core::TimePoint now)
{
    m_trial = Trial{m_limit, comparableLatency()};
    m_lastTrial = now;
    m_wasLastWindowSlow = false;
    setLimit(m_limit * TrialLimitFactor);
    if (limit() == static_cast<std::uint32_t>(m_trial->limitBefore)) {
        // The limit is 1 already.
        m_baseline = m_trial->latencyBefore;
        m_trial.reset();
    }
}

void ConcurrencyLimit::evaluateTrial(core::TimePoint now)
{
    const double latency = comparableLatency();
    const double share = limit() / std::floor(m_trial->limitBefore);
    // If requests contend inside the endpoint, latency falls in proportion to the limit and the cut costs no
    // throughput. If the cause is elsewhere, latency stays and the cut costs throughput in proportion.
    if (isSaturated() && latency <= (1 + share) / 2 * m_trial->latencyBefore) {
        m_knee = m_trial->limitBefore;
        m_trial.reset();
        if (!m_baseline || latency > LatencyTolerance * *m_baseline) {
            beginTrial(now);
        }
        return;
    }
    setLimit(m_trial->limitBefore);
    m_baseline = latency;
    m_trial.reset();
}

void ConcurrencyLimit::applyGradient()
{
    const double latency = m_window.meanLatency();
    if (latency <= 0) {
        return;
    }
    m_baseline = m_baseline.value_or(latency);
    *m_baseline += BaselineSmoothing * (latency - *m_baseline);
    if (hasErrors()) {
        setLimit(m_limit * ErrorLimitFactor);
    } else if (isSaturated()) {
        const double gradient = std::clamp(LatencyTolerance * *m_baseline / latency, MinGradient, 1.0);
        const double target = m_limit * gradient + std::sqrt(m_limit);
        setLimit(m_limit + GradientSmoothing * (target - m_limit));
    }
}

void ConcurrencyLimit::applyAimd()
{
    const double latency = m_window.meanLatency();
    m_baseline = std::min(m_baseline.value_or(latency), latency);
    if (hasErrors() || latency > LatencyTolerance * *m_baseline) {
        setLimit(m_limit * AimdLimitFactor);
    } else if (isSaturated()) {
        setLimit(m_limit + 1);
    }
}

void ConcurrencyLimit::grow()
{
    const bool isNearKnee = m_knee && m_limit >= NearKneeRatio * *m_knee;
    setLimit(isNearKnee ? m_limit + GrowthNearKnee : std::max(m_limit * GrowthFactor, m_limit + 1));
}

void ConcurrencyLimit::setLimit(double limit) noexcept
{
    m_limit = std::clamp(limit, 1.0, static_cast<double>(m_slots));
}

void ConcurrencyLimit::openWindow(core::TimePoint now, core::Duration settling)
{
    m_window = Window{.openedAt = now, .countsFrom = now + settling};
}

}
