#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/types.h"
#include "berylspring/membership/member.h"
#include "berylspring/membership/settings.h"
#include "berylspring/wire/datagrams.h"

#include <vector>

namespace berylspring::membership {

/** @brief A datagram and its receiver. */
struct Outgoing
{
    PeerAddress to;
    wire::Datagram datagram;
    [[nodiscard]] bool operator==(const Outgoing &) const = default;
};

/** @brief An applied offset that a member reported. */
struct ReportedOffset
{
    core::HostId host;
    core::Offset offset = 0;
    [[nodiscard]] bool operator==(const ReportedOffset &) const = default;
};

/** @brief Output of one step of SwimProtocol, carried out by MembershipService. */
struct Actions
{
    std::vector<Outgoing> datagrams;
    std::vector<Member> changed; ///< New members and changes of state, incarnation, address or service.
    std::vector<ReportedOffset> offsets;
    [[nodiscard]] bool operator==(const Actions &) const = default;
};

}
