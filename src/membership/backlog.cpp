#include "berylspring/membership/backlog.h"

#include <algorithm>
#include <utility>

namespace berylspring::membership {

namespace {

std::vector<core::HostId> takeLast(std::vector<core::HostId> &hosts, std::size_t count)
{
    const auto taken = static_cast<std::ptrdiff_t>(std::min(count, hosts.size()));
    std::vector<core::HostId> result(std::make_move_iterator(hosts.end() - taken),
                                     std::make_move_iterator(hosts.end()));
    hosts.erase(hosts.end() - taken, hosts.end());
    return result;
}

}

void Backlog::push(std::vector<core::HostId> receivers)
{
    const std::scoped_lock lock(m_mutex);
    m_pushes = std::move(receivers);
}

void Backlog::sync(const core::HostId &receiver, const std::vector<core::HostId> &hosts)
{
    const std::scoped_lock lock(m_mutex);
    m_syncs.try_emplace(receiver, hosts);
}

std::vector<core::HostId> Backlog::nextPushes(std::size_t count)
{
    const std::scoped_lock lock(m_mutex);
    return takeLast(m_pushes, count);
}

std::vector<SyncPart> Backlog::nextSyncs(std::size_t count)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<SyncPart> parts;
    for (auto sync = m_syncs.begin(); sync != m_syncs.end();) {
        parts.push_back({sync->first, takeLast(sync->second, count)});
        sync = sync->second.empty() ? m_syncs.erase(sync) : std::next(sync);
    }
    return parts;
}

}
