#include "berylspring/routing/cold_share.h"

#include <algorithm>
#include <cmath>

namespace berylspring::routing {

namespace {

/** Protects the calculation with times against overflow at rates near zero. */
constexpr core::Duration MaxInterval = std::chrono::hours(1);
/** Step of a sequence that is spread evenly over all values (2^64 divided by the golden ratio). */
constexpr std::uint64_t EvenStep = 0x9E37'79B9'7F4A'7C15;

core::Duration intervalOf(const EndpointView &view, std::size_t liveNodes)
{
    const std::chrono::duration<double> seconds(static_cast<double>(std::max<std::size_t>(liveNodes, 1))
                                                / view->coldRate);
    return seconds >= MaxInterval ? MaxInterval : std::chrono::duration_cast<core::Duration>(seconds);
}

bool isCold(const EndpointView &view) noexcept
{
    return view->coldRate > 0;
}

}

ColdShare::ColdShare(core::Duration interval, std::uint64_t random, core::TimePoint now) noexcept
    : m_fullAt(now
               + core::Duration(static_cast<core::Duration::rep>(std::ldexp(static_cast<double>(random), -64)
                                                                 * static_cast<double>(interval.count()))))
{
}

ColdShare ColdShare::withSent(core::Duration interval, core::TimePoint now) const noexcept
{
    ColdShare copy = *this;
    copy.m_fullAt = now + interval;
    return copy;
}

std::vector<Candidate> ColdShares::withinShare(const std::vector<Candidate> &eligible,
                                               std::size_t liveNodes,
                                               std::uint64_t random,
                                               core::TimePoint now)
{
    std::vector<Candidate> within;
    within.reserve(eligible.size());
    for (const Candidate &candidate : eligible) {
        const EndpointView &view = *candidate.view;
        if (!isCold(view)) {
            m_shares.erase(view->host);
            within.push_back(candidate);
            continue;
        }
        random += EvenStep;
        const auto share = m_shares.try_emplace(view->host, intervalOf(view, liveNodes), random, now).first;
        if (share->second.isFull(now)) {
            within.push_back(candidate);
        }
    }
    return within.empty() ? eligible : within;
}

void ColdShares::sent(const EndpointView &view, std::size_t liveNodes, core::TimePoint now)
{
    const auto share = m_shares.find(view->host);
    if (isCold(view) && share != m_shares.end() && share->second.isFull(now)) {
        share->second = share->second.withSent(intervalOf(view, liveNodes), now);
    }
}

void ColdShares::forget(const core::HostId &host)
{
    m_shares.erase(host);
}

}
