#include "node_state.h"

#include <algorithm>
#include <utility>

namespace berylspring::limit::detail {

namespace {

/** Minimum age of the view before it is read again: reading it for each grant would cost more than the grant. */
constexpr core::Duration ViewInterval = std::chrono::milliseconds(20);
/** Time within which a host that announced its shutdown has left the view. */
constexpr core::Duration RetiredRetention = std::chrono::seconds(10);

}

NodeState::NodeState(const LimitSettings &settings, const LimitHooks &hooks)
    : m_settings(settings)
    , m_hooks(hooks)
    , m_lease(hooks.now())
{
}

void NodeState::refreshView(core::TimePoint now)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_view->live().empty() && now - m_viewAt < ViewInterval) {
            return;
        }
    }
    std::vector<core::HostId> live = m_hooks.liveHosts(m_settings.dataCentre);
    const bool hasJoined = std::find(live.begin(), live.end(), m_settings.self) != live.end();
    if (!hasJoined) {
        live.push_back(m_settings.self);
    }
    const std::scoped_lock lock(m_mutex);
    m_hasJoined = hasJoined;
    m_viewAt = now;
    ViewHistory next = *m_view;
    for (auto entry = m_retired.begin(); entry != m_retired.end();) {
        // The mark ends when the host has left the view, since it may return as a new process.
        const bool hasLeft = std::find(live.begin(), live.end(), entry->first) == live.end();
        next = hasLeft ? next.without(entry->first, now) : next;
        entry = hasLeft || entry->second <= now ? m_retired.erase(entry) : std::next(entry);
    }
    std::erase_if(live, [&](const core::HostId &host) { return m_retired.contains(host); });
    next = next.observed(std::move(live), now);
    if (next != *m_view) {
        m_view = std::make_shared<ViewHistory>(std::move(next));
    }
}

NodeSnapshot NodeState::observe()
{
    // Read before the clock: an acknowledgement that arrives later must not renew the lease as of an earlier time.
    const core::TimePoint lastAck = m_hooks.lastPeerAck();
    const std::uint64_t resumeCount = m_hooks.resumeCount();
    const core::TimePoint now = m_hooks.now();
    refreshView(now);
    const std::scoped_lock lock(m_mutex);
    m_lease = m_lease.observed(now, lastAck, m_view->live().size() > 1, resumeCount);
    NodeSnapshot snapshot{now, m_lease, m_view, {}, m_hasJoined};
    for (const auto &[host, until] : m_retired) {
        snapshot.retired.push_back(host);
    }
    return snapshot;
}

void NodeState::retire(const core::HostId &host)
{
    const core::TimePoint now = m_hooks.now();
    const std::scoped_lock lock(m_mutex);
    if (m_retired.insert_or_assign(host, now + RetiredRetention).second) {
        m_view = std::make_shared<ViewHistory>(m_view->without(host, now));
    }
}

void NodeState::restore(const core::HostId &host)
{
    const std::scoped_lock lock(m_mutex);
    if (m_retired.erase(host) > 0) {
        m_viewAt = {};
    }
}

}
