#pragma once

#include "berylspring/core/name.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace berylspring::membership {

/** @brief Address at which a member receives datagrams. */
struct PeerAddress
{
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    [[nodiscard]] auto operator<=>(const PeerAddress &) const = default;
};

struct MembershipSettings
{
    core::HostId host;
    core::DataCentreId dataCentre;
    std::string address; ///< IP number that is bound and announced.
    std::uint16_t port = 0; ///< 0 picks a free port.
    std::vector<PeerAddress> seeds; ///< Members to contact first; the own address among them is ignored.
    [[nodiscard]] bool operator==(const MembershipSettings &) const = default;
};

}
