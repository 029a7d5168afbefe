#include "berylspring/idempotency/home_order.h"

#include "berylspring/core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace berylspring::idempotency {

namespace {

/** Adds live hosts that are missing from the recent ones: without them, dead hosts that rank above would be missed. */
std::vector<core::HostId> withMissing(std::vector<core::HostId> recent, const std::vector<core::HostId> &live)
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
    , m_recent(core::rendezvousOrder(claimName, withMissing(std::move(recent), m_live)))
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

bool HomeOrder::hasRemovedHostSince(const HomeOrder &earlier) const
{
    return std::any_of(earlier.m_recent.begin(), earlier.m_recent.end(), [&](const core::HostId &host) {
        return std::find(m_recent.begin(), m_recent.end(), host) == m_recent.end();
    });
}

std::size_t HomeOrder::scanLimit() const
{
    std::size_t neverDeclaredDead = 0;
    for (std::size_t i = 0; i < m_live.size(); ++i) {
        neverDeclaredDead += wasDeclaredDead(m_live[i]) ? 0U : 1U;
        if (neverDeclaredDead > MaxStandbys) {
            return i + 1;
        }
    }
    return m_live.size();
}

ClaimStep HomeOrder::next(const Accepted &accepted, const UptimeLookup &uptimeOf) const
{
    std::optional<core::HostId> firstLongRunning;
    std::size_t holders = 0;
    const std::size_t end = scanLimit();
    for (std::size_t i = 0; i < end && (!firstLongRunning || holders < Holders); ++i) {
        const auto found = accepted.find(m_live[i]);
        if (found == accepted.end()) {
            return ask(i, end, !firstLongRunning, uptimeOf);
        }
        holders += i == 0 || found->second >= ViewPropagationTime ? 1U : 0U;
        if (!firstLongRunning && found->second >= m_retention && !wasDeclaredDead(m_live[i])) {
            firstLongRunning = m_live[i];
        }
    }
    const bool isUnknown =
        firstLongRunning ? areHoldersGone(*firstLongRunning, accepted) : mayRecordBeLost(accepted, uptimeOf);
    return {isUnknown ? ClaimStep::Kind::RecordsLost : ClaimStep::Kind::Proceed, {}};
}

bool HomeOrder::isLive(const core::HostId &host) const
{
    return std::find(m_live.begin(), m_live.end(), host) != m_live.end();
}

bool HomeOrder::wasDeclaredDead(const core::HostId &host) const
{
    return std::count(m_recent.begin(), m_recent.end(), host) > 1;
}

bool HomeOrder::hasLostRecords(const core::HostId &host, const Accepted &accepted) const
{
    if (!isLive(host)) {
        return true;
    }
    const auto uptime = accepted.find(host);
    return wasDeclaredDead(host) && (uptime == accepted.end() || uptime->second < m_retention);
}

ClaimStep HomeOrder::ask(std::size_t first, std::size_t end, bool needsLongRunning, const UptimeLookup &uptimeOf) const
{
    ClaimStep step;
    for (std::size_t i = first; i < end; ++i) {
        step.hosts.push_back(m_live[i]);
        const bool isPresumedLongRunning = uptimeOf(m_live[i]).value_or(core::Duration::zero()) >= m_retention;
        if (!needsLongRunning || (isPresumedLongRunning && !wasDeclaredDead(m_live[i]))) {
            break;
        }
    }
    return step;
}

bool HomeOrder::areHoldersGone(const core::HostId &member, const Accepted &accepted) const
{
    const auto end = std::find(m_recent.begin(), m_recent.end(), member);
    std::size_t lostCount = 0;
    for (auto recent = m_recent.begin(); recent != end; ++recent) {
        const bool isCounted = recent != m_recent.begin() && *recent == *(recent - 1);
        lostCount += !isCounted && hasLostRecords(*recent, accepted) ? 1U : 0U;
    }
    return lostCount >= Holders;
}

/**
 * Since the start of the longest-running host that was never declared dead, each record has had two holders. Records
 * from before that start, or from times when all other hosts were declared dead, may have been held by a single host of
 * any rank. A host that is known to have started no earlier can't have held such records alone.
 */
bool HomeOrder::mayRecordBeLost(const Accepted &accepted, const UptimeLookup &uptimeOf) const
{
    core::Duration longest{};
    std::optional<core::HostId> oldest;
    for (const auto &[host, uptime] : accepted) {
        if (isLive(host) && !wasDeclaredDead(host) && uptime > longest) {
            longest = uptime;
            oldest = host;
        }
    }
    if (!oldest) {
        return std::any_of(
            m_recent.begin(), m_recent.end(), [&](const auto &host) { return hasLostRecords(host, accepted); });
    }
    return areHoldersGone(*oldest, accepted)
           || std::any_of(m_recent.begin(), m_recent.end(), [&](const core::HostId &host) {
                  const auto uptime = uptimeOf(host);
                  return hasLostRecords(host, accepted) && !(uptime && *uptime <= longest + StartTimeTolerance);
              });
}

}
