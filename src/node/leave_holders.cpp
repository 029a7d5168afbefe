#include "node/leave_holders.h"

#include "berylspring/core/rendezvous.h"

#include <algorithm>
#include <unordered_map>

namespace berylspring::node::detail {

std::vector<admission::NoticeReceiver>
leaveHolders(const membership::MemberSnapshot &members, const membership::Member &self, HolderCounts counts)
{
    std::vector<core::HostId> local;
    std::vector<core::HostId> remote;
    std::unordered_map<core::HostId, std::uint64_t> incarnations;
    for (const membership::Member &member : members.liveMembers()) {
        if (member.host() != self.host()) {
            (member.dataCentre() == self.dataCentre() ? local : remote).push_back(member.host());
            incarnations.emplace(member.host(), member.incarnation());
        }
    }
    std::vector<admission::NoticeReceiver> holders;
    const auto addFirst = [&](std::vector<core::HostId> hosts, std::size_t count) {
        const std::vector<core::HostId> order = core::rendezvousOrder(self.host().value(), std::move(hosts));
        for (std::size_t i = 0; i < std::min(count, order.size()); ++i) {
            holders.push_back({order[i], incarnations.at(order[i])});
        }
    };
    addFirst(std::move(local), counts.local);
    addFirst(std::move(remote), counts.remote);
    return holders;
}

}
