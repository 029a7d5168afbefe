#include "berylspring/admission/service_times.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace berylspring::admission {

namespace {

constexpr core::Duration WindowLength = std::chrono::milliseconds(500);
/** With fewer samples the quantile is too uncertain to drop requests because of it. */
constexpr std::uint32_t MinSamples = 20;
constexpr double LowQuantile = 0.1;
/** Buckets per doubling of the time, and the time at which the logarithmic buckets start. */
constexpr double BucketsPerDoubling = 2;
constexpr double SmallestSeconds = 50e-6;

double secondsOf(core::Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t bucketOf(core::Duration duration, std::size_t count) noexcept
{
    const double steps = BucketsPerDoubling * std::log2(std::max(secondsOf(duration) / SmallestSeconds, 1.0));
    return std::min(static_cast<std::size_t>(steps), count - 1);
}

core::Duration lowerEnd(std::size_t bucket) noexcept
{
    const double seconds = SmallestSeconds * std::exp2(static_cast<double>(bucket) / BucketsPerDoubling);
    return bucket == 0 ? core::Duration::zero() : core::Duration(static_cast<std::int64_t>(seconds * 1e9));
}

}

bool ServiceTimes::isRecent(const Window &window, core::TimePoint now) const noexcept
{
    return window.samples > 0 && now - window.openedAt < 2 * WindowLength;
}

ServiceTimes ServiceTimes::withSample(core::Duration serviceTime, core::TimePoint now) const
{
    ServiceTimes next = *this;
    if (now - m_current.openedAt >= WindowLength) {
        next.m_previous = m_current;
        next.m_current = Window{.openedAt = now};
    }
    auto &bucket = next.m_current.buckets[bucketOf(serviceTime, BucketCount)];
    bucket = static_cast<std::uint16_t>(std::min<unsigned>(bucket + 1U, UINT16_MAX));
    ++next.m_current.samples;
    next.m_current.sum += serviceTime;
    return next;
}

core::Duration ServiceTimes::lowQuantile(core::TimePoint now) const noexcept
{
    const bool useCurrent = isRecent(m_current, now);
    const bool usePrevious = isRecent(m_previous, now);
    const std::uint32_t samples = (useCurrent ? m_current.samples : 0) + (usePrevious ? m_previous.samples : 0);
    if (samples < MinSamples) {
        return core::Duration::zero();
    }
    double below = 0;
    for (std::size_t i = 0; i < BucketCount; ++i) {
        below += (useCurrent ? m_current.buckets[i] : 0) + (usePrevious ? m_previous.buckets[i] : 0);
        if (below > LowQuantile * samples) {
            return lowerEnd(i);
        }
    }
    return core::Duration::zero();
}

core::Duration ServiceTimes::mean(core::TimePoint now) const noexcept
{
    core::Duration sum{};
    std::uint32_t samples = 0;
    for (const Window *window : {&m_current, &m_previous}) {
        if (isRecent(*window, now)) {
            sum += window->sum;
            samples += window->samples;
        }
    }
    return samples == 0 ? core::Duration::zero() : sum / samples;
}

}
