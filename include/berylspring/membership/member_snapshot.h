#pragma once

#include "berylspring/core/name.h"
#include "berylspring/membership/member.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace berylspring::membership {

/** @brief All members at one moment, by data centre and service. Immutable, so threads share it without a lock. */
class MemberSnapshot
{
public:
    MemberSnapshot() = default;
    /** @param members All known members, this one included, in any order. */
    explicit MemberSnapshot(std::vector<Member> members);

    /** @return All known members, dead and left ones included, in unspecified order. */
    [[nodiscard]] const std::vector<Member> &members() const noexcept
    {
        return m_members;
    }
    /** @return The alive and suspect members, in unspecified order. */
    [[nodiscard]] const std::vector<Member> &liveMembers() const noexcept
    {
        return m_live;
    }
    /** @return The alive and suspect members of a data centre. */
    [[nodiscard]] const std::vector<Member> &liveMembers(const core::DataCentreId &dataCentre) const;
    /** @return Hosts of liveMembers(dataCentre), in the same order. */
    [[nodiscard]] const std::vector<core::HostId> &liveHosts(const core::DataCentreId &dataCentre) const;
    /** @return liveHosts() and the hosts that died within DeadRetention, but not those that left. */
    [[nodiscard]] std::vector<core::HostId> recentHosts(const core::DataCentreId &dataCentre) const;
    /** @return The alive and suspect members whose endpoint provides the service, draining ones included. */
    [[nodiscard]] const std::vector<Member> &providers(const core::ServiceId &service) const;

    [[nodiscard]] bool operator==(const MemberSnapshot &) const = default;

private:
    struct DataCentre
    {
        std::vector<Member> live;
        std::vector<core::HostId> liveHosts;
        std::vector<core::HostId> deadHosts;
        [[nodiscard]] bool operator==(const DataCentre &) const = default;
    };

    std::vector<Member> m_members;
    std::vector<Member> m_live;
    std::unordered_map<core::DataCentreId, DataCentre> m_dataCentres;
    std::unordered_map<core::ServiceId, std::vector<Member>> m_providers;
};

}
