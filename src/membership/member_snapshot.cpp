#include "berylspring/membership/member_snapshot.h"

#include <utility>

namespace berylspring::membership {

namespace {

template<typename Map, typename Key>
const typename Map::mapped_type &valueOrEmpty(const Map &map, const Key &key)
{
    static const typename Map::mapped_type empty;
    const auto found = map.find(key);
    return found == map.end() ? empty : found->second;
}

}

MemberSnapshot::MemberSnapshot(std::vector<Member> members)
    : m_members(std::move(members))
{
    m_live.reserve(m_members.size());
    for (const auto &member : m_members) {
        if (member.isLive()) {
            m_live.push_back(member);
            auto &dataCentre = m_dataCentres[member.dataCentre()];
            dataCentre.live.push_back(member);
            dataCentre.liveHosts.push_back(member.host());
            if (member.endpoint()) {
                m_providers[(*member.endpoint())->service].push_back(member);
            }
        } else if (member.state() == wire::MemberState::Dead) {
            m_dataCentres[member.dataCentre()].deadHosts.push_back(member.host());
        }
    }
}

const std::vector<Member> &MemberSnapshot::liveMembers(const core::DataCentreId &dataCentre) const
{
    return valueOrEmpty(m_dataCentres, dataCentre).live;
}

const std::vector<core::HostId> &MemberSnapshot::liveHosts(const core::DataCentreId &dataCentre) const
{
    return valueOrEmpty(m_dataCentres, dataCentre).liveHosts;
}

std::vector<core::HostId> MemberSnapshot::recentHosts(const core::DataCentreId &dataCentre) const
{
    const auto &found = valueOrEmpty(m_dataCentres, dataCentre);
    auto hosts = found.liveHosts;
    hosts.insert(hosts.end(), found.deadHosts.begin(), found.deadHosts.end());
    return hosts;
}

const std::vector<Member> &MemberSnapshot::providers(const core::ServiceId &service) const
{
    return valueOrEmpty(m_providers, service);
}

}
