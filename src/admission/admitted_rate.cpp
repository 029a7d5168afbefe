#include "berylspring/admission/admitted_rate.h"

#include "admission/decay.h"

#include <algorithm>

namespace berylspring::admission {

namespace {

/** Long enough that a service with a few requests per second has a steady rate, and shorter than most overloads. */
constexpr double TimeConstantSeconds = 2.0;
/** Shortest time that the first requests are divided by, so that a few of them do not count as a high rate. */
constexpr double MinAgeSeconds = 0.5;

}

AdmittedRate AdmittedRate::withRequest(core::TimePoint now) const noexcept
{
    AdmittedRate next = *this;
    next.m_startedAt = m_requests == 0 ? now : m_startedAt;
    next.m_requests = m_requests * decayOver(now - m_updatedAt, TimeConstantSeconds) + 1;
    next.m_updatedAt = std::max(now, m_updatedAt);
    return next;
}

double AdmittedRate::perSecond(core::TimePoint now) const noexcept
{
    if (m_requests == 0) {
        return 0;
    }
    const auto minAge = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(MinAgeSeconds));
    const core::Duration age = std::max<core::Duration>(now - m_startedAt, minAge);
    return m_requests * decayOver(now - m_updatedAt, TimeConstantSeconds)
           / (TimeConstantSeconds * (1 - decayOver(age, TimeConstantSeconds)));
}

}
