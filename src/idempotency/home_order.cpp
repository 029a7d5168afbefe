#include "berylspring/idempotency/home_order.h"

#include "berylspring/core/rendezvous.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace berylspring::idempotency {

namespace {

/** A live host missing from the recent ones would hide the gone hosts above it. */
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

HomeOrder::HomeOrder(std::string_view claimName, std::vector<core::HostId> live, std::vector<core::HostId> recent)
    : m_live(core::rendezvousOrder(claimName, std::move(live)))
    , m_recent(core::rendezvousOrder(claimName, withAll(std::move(recent), m_live)))
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

std::size_t HomeOrder::goneAbove(const core::HostId &host) const
{
    const auto last = std::find(m_recent.rbegin(), m_recent.rend(), host).base();
    std::size_t gone = 0;
    for (auto recent = m_recent.begin(); recent != last;) {
        const auto next = std::find_if(recent, last, [&](const core::HostId &other) { return other != *recent; });
        const bool hasCrashed = next - recent > 1;
        const bool isLive = std::find(m_live.begin(), m_live.end(), *recent) != m_live.end();
        gone += hasCrashed || !isLive ? 1U : 0U;
        recent = next;
    }
    return gone;
}

ClaimStep HomeOrder::next(const std::map<core::HostId, Memory> &accepted,
                          const std::function<bool(const core::HostId &)> &isPresumedOld) const
{
    const std::size_t end = std::min(m_live.size(), MaxStandbys + 1);
    if (end == 0) {
        return {ClaimStep::Kind::PastUnknown, {}};
    }
    std::optional<core::HostId> firstOld;
    std::size_t held = 0;
    while (held < end && (!firstOld || held < Holders)) {
        const auto found = accepted.find(m_live[held]);
        if (found == accepted.end()) {
            return ask(held, isPresumedOld, !firstOld);
        }
        if (!firstOld && found->second == Memory::CoversRetention) {
            firstOld = m_live[held];
        }
        ++held;
    }
    return judge(firstOld.value_or(m_live[end - 1]));
}

ClaimStep HomeOrder::ask(std::size_t first,
                         const std::function<bool(const core::HostId &)> &isPresumedOld,
                         bool needsOld) const
{
    ClaimStep step;
    const std::size_t end = std::min(m_live.size(), MaxStandbys + 1);
    for (std::size_t i = first; i < end; ++i) {
        step.hosts.push_back(m_live[i]);
        if (!needsOld || isPresumedOld(m_live[i])) {
            break;
        }
    }
    return step;
}

ClaimStep HomeOrder::judge(const core::HostId &firstOld) const
{
    const bool areBothGone = goneAbove(firstOld) >= Holders;
    return {areBothGone ? ClaimStep::Kind::PastUnknown : ClaimStep::Kind::Proceed, {}};
}

}
