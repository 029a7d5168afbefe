#include "berylspring/idempotency/home_order.h"

#include "berylspring/core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace berylspring::idempotency {

namespace {

/** Adds live hosts that are missing from the recent ones: without them, dead hosts that rank above would be missed. */
std::vector<core::HostId> withAll(std::vector<core::HostId> recent, const std::vector<core::HostId> &live)
{
    for (const core::HostId &host : live) {
        if (std::find(recent.begin(), recent.end(), host) == recent.end()) {
            recent.push_back(host);
        }
    }
    return recent;
}

}

HomeOrder::HomeOrder(std::string_view claimName,
                     std::vector<core::HostId> live,
                     std::vector<core::HostId> recent,
                     core::Duration retention)
    : m_live(core::rendezvousOrder(claimName, std::move(live)))
    , m_recent(core::rendezvousOrder(claimName, withAll(std::move(recent), m_live)))
    , m_retention(retention)
{
}

core::HostId HomeOrder::home() const
{
    return m_live.empty() ? core::HostId() : m_live.front();
}

std::vector<core::HostId> HomeOrder::standbys() const
{
    return m_live.empty() ? m_live : std::vector<core::HostId>(m_live.begin() + 1, m_live.end());
}

bool HomeOrder::hasLostSince(const HomeOrder &earlier) const
{
    return std::any_of(earlier.m_recent.begin(), earlier.m_recent.end(), [&](const core::HostId &host) {
        return std::find(m_recent.begin(), m_recent.end(), host) == m_recent.end();
    });
}

std::size_t HomeOrder::asked() const
{
    std::size_t young = 0;
    for (std::size_t i = 0; i < m_live.size(); ++i) {
        young += wasAway(m_live[i]) ? 0U : 1U;
        if (young > MaxStandbys) {
            return i + 1;
        }
    }
    return m_live.size();
}

ClaimStep HomeOrder::next(const Accepted &accepted, const MemoryOf &memoryOf) const
{
    std::optional<core::HostId> firstOld;
    std::size_t settled = 0;
    const std::size_t end = asked();
    for (std::size_t i = 0; i < end && (!firstOld || settled < Holders); ++i) {
        const auto found = accepted.find(m_live[i]);
        if (found == accepted.end()) {
            return ask(i, end, !firstOld, memoryOf);
        }
        settled += i == 0 || found->second >= ViewSpread ? 1U : 0U;
        if (!firstOld && found->second >= m_retention && !wasAway(m_live[i])) {
            firstOld = m_live[i];
        }
    }
    const bool isUnknown = firstOld ? areBothGone(*firstOld, accepted) : mayBeGone(accepted, memoryOf);
    return {isUnknown ? ClaimStep::Kind::RecordsLost : ClaimStep::Kind::Proceed, {}};
}

bool HomeOrder::isLive(const core::HostId &host) const
{
    return std::find(m_live.begin(), m_live.end(), host) != m_live.end();
}

bool HomeOrder::wasAway(const core::HostId &host) const
{
    return std::count(m_recent.begin(), m_recent.end(), host) > 1;
}

bool HomeOrder::isGone(const core::HostId &host, const Accepted &accepted) const
{
    if (!isLive(host)) {
        return true;
    }
    const auto memory = accepted.find(host);
    return wasAway(host) && (memory == accepted.end() || memory->second < m_retention);
}

ClaimStep HomeOrder::ask(std::size_t first, std::size_t end, bool needsOld, const MemoryOf &memoryOf) const
{
    ClaimStep step;
    for (std::size_t i = first; i < end; ++i) {
        step.hosts.push_back(m_live[i]);
        const bool isPresumedOld = memoryOf(m_live[i]).value_or(core::Duration::zero()) >= m_retention;
        if (!needsOld || (isPresumedOld && !wasAway(m_live[i]))) {
            break;
        }
    }
    return step;
}

bool HomeOrder::areBothGone(const core::HostId &member, const Accepted &accepted) const
{
    const auto end = std::find(m_recent.begin(), m_recent.end(), member);
    std::size_t gone = 0;
    for (auto recent = m_recent.begin(); recent != end; ++recent) {
        const bool isCounted = recent != m_recent.begin() && *recent == *(recent - 1);
        gone += !isCounted && isGone(*recent, accepted) ? 1U : 0U;
    }
    return gone >= Holders;
}

/**
 * Since the start of the longest-running host that was never declared dead, each record has had two holders. Records
 * from before that start, or from times when all other hosts were declared dead, may have been held by a single host of
 * any rank. A host that is known to have started no earlier can't have held such records alone.
 */
bool HomeOrder::mayBeGone(const Accepted &accepted, const MemoryOf &memoryOf) const
{
    core::Duration longest{};
    std::optional<core::HostId> oldest;
    for (const auto &[host, memory] : accepted) {
        if (isLive(host) && !wasAway(host) && memory > longest) {
            longest = memory;
            oldest = host;
        }
    }
    if (!oldest) {
        return std::any_of(m_recent.begin(), m_recent.end(), [&](const auto &host) { return isGone(host, accepted); });
    }
    return areBothGone(*oldest, accepted)
           || std::any_of(m_recent.begin(), m_recent.end(), [&](const core::HostId &host) {
                  const auto memory = memoryOf(host);
                  return isGone(host, accepted) && !(memory && *memory <= longest + StartSpread);
              });
}

}
