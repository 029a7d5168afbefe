#include "berylspring/membership/update_queue.h"

#include <algorithm>
#include <bit>
#include <iterator>

namespace berylspring::membership {

std::size_t transmissionLimit(std::size_t memberCount) noexcept
{
    constexpr std::size_t Factor = 3;
    constexpr std::size_t MinMemberCount = 16;
    return Factor * static_cast<std::size_t>(std::bit_width(std::max(memberCount, MinMemberCount)));
}

void UpdateQueue::add(const core::HostId &host)
{
    const std::scoped_lock lock(m_mutex);
    drop(host);
    place(host, {0, m_nextAge--});
    if (m_order.size() > MaxEntries) {
        drop(core::HostId(std::prev(m_order.end())->host));
    }
}

std::vector<core::HostId> UpdateQueue::first(std::size_t count) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<core::HostId> hosts;
    for (auto entry = m_order.begin(); entry != m_order.end() && hosts.size() < count; ++entry) {
        hosts.push_back(entry->host);
    }
    return hosts;
}

void UpdateQueue::markSent(const core::HostId &host, std::size_t limit)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_positions.find(host);
    if (found == m_positions.end()) {
        return;
    }
    const Position position{found->second.transmissions + 1, found->second.age};
    drop(host);
    if (position.transmissions < limit) {
        place(host, position);
    }
}

void UpdateQueue::remove(const core::HostId &host)
{
    const std::scoped_lock lock(m_mutex);
    drop(host);
}

std::size_t UpdateQueue::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_order.size();
}

void UpdateQueue::place(const core::HostId &host, Position position)
{
    m_positions.insert_or_assign(host, position);
    m_order.insert(Entry{position, host});
}

void UpdateQueue::drop(const core::HostId &host)
{
    const auto found = m_positions.find(host);
    if (found != m_positions.end()) {
        m_order.erase(Entry{found->second, host});
        m_positions.erase(found);
    }
}

}
