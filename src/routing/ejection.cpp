#include "berylspring/routing/ejection.h"

#include <algorithm>
#include <bit>

namespace berylspring::routing {

namespace {

constexpr std::uint32_t HistoryMask = (1U << Ejection::HistoryLength) - 1;
/** A full history with at most this many failures resets the ejection time, which doubles with each ejection. */
constexpr int MaxFailuresToReset = 2;

}

Ejection Ejection::withResult(bool isOk, core::TimePoint now) const noexcept
{
    if (isEjected(now)) {
        return *this;
    }
    Ejection next = *this;
    next.m_history = ((m_history << 1U) | (isOk ? 0U : 1U)) & HistoryMask;
    next.m_count = std::min(m_count + 1, HistoryLength);
    next.m_consecutiveFailures = isOk ? 0 : m_consecutiveFailures + 1;
    const int failures = std::popcount(next.m_history);
    const bool isFull = next.m_count == HistoryLength;
    if (next.m_consecutiveFailures >= MaxConsecutiveFailures
        || (isFull && 2 * failures > static_cast<int>(HistoryLength))) {
        next.eject(now);
    } else if (isFull && failures <= MaxFailuresToReset) {
        next.m_next = FirstDuration;
    }
    return next;
}

void Ejection::eject(core::TimePoint now) noexcept
{
    m_until = now + m_next;
    m_next = std::min(2 * m_next, MaxDuration);
    m_history = 0;
    m_count = 0;
    m_consecutiveFailures = 0;
}

}
