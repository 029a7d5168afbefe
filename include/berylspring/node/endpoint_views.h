#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/membership/member_snapshot.h"
#include "berylspring/routing/endpoint_view.h"

#include <memory>
#include <vector>

namespace berylspring::node {

using EndpointViews = std::vector<routing::EndpointView>;

/** @brief Caches the router's view of the endpoints of each service; rebuilt when the member snapshot changes. */
class EndpointViewCache
{
public:
    [[nodiscard]] std::shared_ptr<const EndpointViews>
    views(const core::ServiceId &service, const std::shared_ptr<const membership::MemberSnapshot> &snapshot);

private:
    struct Entry
    {
        std::shared_ptr<const membership::MemberSnapshot> snapshot;
        std::shared_ptr<const EndpointViews> views;
    };
    core::ShardedMap<core::ServiceId, Entry> m_entries;
};

}
