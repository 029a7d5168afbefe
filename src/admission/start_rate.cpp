#include "berylspring/admission/start_rate.h"

#include <algorithm>
#include <cmath>

namespace berylspring::admission {

namespace {

/** Protects the calculation with times against overflow at rates near zero. */
constexpr core::Duration MaxInterval = std::chrono::hours(1);

core::Duration intervalOf(double rate)
{
    // Rounded up, so that the rate is never exceeded.
    const double nanoseconds =
        std::ceil(std::chrono::duration<double, std::nano>(std::chrono::seconds(1)).count() / rate);
    return nanoseconds >= static_cast<double>(MaxInterval.count())
               ? MaxInterval
               : core::Duration(static_cast<core::Duration::rep>(nanoseconds));
}

}

StartRate::StartRate(double rate, double burst, core::TimePoint now)
    : m_interval(intervalOf(rate))
    , m_tolerance(
          static_cast<core::Duration::rep>((std::max(burst, 1.0) - 1) * static_cast<double>(m_interval.count())))
    , m_fullAt(now + m_tolerance + m_interval)
{
}

core::TimePoint StartRate::dueAt(std::size_t count, core::TimePoint now) const noexcept
{
    const core::TimePoint first = std::max(m_fullAt, now) - m_tolerance;
    return std::max(now, first + m_interval * static_cast<core::Duration::rep>(count - 1));
}

std::size_t StartRate::dueUntil(core::TimePoint end, core::TimePoint now) const noexcept
{
    const core::TimePoint first = std::max(m_fullAt, now) - m_tolerance;
    return end < std::max(first, now) ? 0 : static_cast<std::size_t>((end - first) / m_interval) + 1;
}

StartRate StartRate::withStart(core::TimePoint now) const noexcept
{
    StartRate copy = *this;
    copy.m_fullAt = std::max(m_fullAt, now) + m_interval;
    return copy;
}

}
