#include "node/departed_endpoints.h"

#include <unordered_map>

namespace berylspring::node::detail {

std::vector<routing::KnownEndpoint> departedEndpoints(std::vector<routing::KnownEndpoint> known,
                                                      const membership::MemberSnapshot &snapshot)
{
    if (known.empty()) {
        return known;
    }
    std::unordered_map<core::HostId, const membership::Member *> members;
    members.reserve(snapshot.members().size());
    for (const membership::Member &member : snapshot.members()) {
        members.emplace(member.host(), &member);
    }
    std::erase_if(known, [&](const routing::KnownEndpoint &endpoint) {
        const auto found = members.find(endpoint.host);
        if (found == members.end()) {
            return false;
        }
        const auto &current = found->second->endpoint();
        return !current || (*current)->service == endpoint.service;
    });
    return known;
}

}
