#include "berylspring/node/endpoint_views.h"

namespace berylspring::node {

namespace {

EndpointViews viewsOf(const core::ServiceId &service, const membership::MemberSnapshot &snapshot)
{
    EndpointViews views;
    for (const membership::Member &member : snapshot.providers(service)) {
        const wire::EndpointState &endpoint = *member.endpoint();
        views.push_back(routing::EndpointView({.host = member.host(),
                                               .dataCentre = member.dataCentre(),
                                               .service = service,
                                               .slots = endpoint->slots,
                                               .isDraining = endpoint->isDraining,
                                               .isAlive = member.isLive(),
                                               .reportedLoad = static_cast<double>(endpoint->load),
                                               .reportedAt = member.lastSeenAt(),
                                               .coldRate = endpoint->coldRate,
                                               .firstSeen = member.stateSince()}));
    }
    return views;
}

}

std::shared_ptr<const EndpointViews>
EndpointViewCache::views(const core::ServiceId &service,
                         const std::shared_ptr<const membership::MemberSnapshot> &snapshot)
{
    const std::optional<Entry> known = m_entries.find(service);
    if (known && known->snapshot == snapshot) {
        return known->views;
    }
    auto views = std::make_shared<const EndpointViews>(viewsOf(service, *snapshot));
    m_entries.insertOrAssign(service, {snapshot, views});
    return views;
}

}
