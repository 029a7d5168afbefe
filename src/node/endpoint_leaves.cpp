#include "berylspring/node/endpoint_leaves.h"

#include <algorithm>

namespace berylspring::node {

EndpointLeaves::EndpointLeaves(const std::vector<wire::EndpointLeave> &leaves)
{
    for (const wire::EndpointLeave &leave : leaves) {
        add(leave);
    }
}

EndpointLeaves EndpointLeaves::with(const wire::EndpointLeave &leave) const
{
    EndpointLeaves result = *this;
    result.add(leave);
    return result;
}

EndpointLeaves EndpointLeaves::with(const EndpointLeaves &later) const
{
    EndpointLeaves result = *this;
    for (const wire::EndpointLeave &leave : later.m_list) {
        result.add(leave);
    }
    return result;
}

bool EndpointLeaves::cover(const std::string &id, std::uint64_t incarnation) const
{
    return std::any_of(m_list.begin(), m_list.end(), [&](const wire::EndpointLeave &leave) {
        return leave.id == id && incarnation <= leave.lastIncarnation;
    });
}

void EndpointLeaves::add(const wire::EndpointLeave &leave)
{
    if (leave.id.empty()) {
        return;
    }
    const auto known = std::find_if(
        m_list.begin(), m_list.end(), [&](const wire::EndpointLeave &entry) { return entry.id == leave.id; });
    if (known != m_list.end()) {
        if (leave.lastIncarnation <= known->lastIncarnation) {
            return;
        }
        m_list.erase(known);
    }
    m_list.push_back(leave);
    if (m_list.size() > MaxLeaves) {
        m_list.erase(m_list.begin());
    }
}

}
