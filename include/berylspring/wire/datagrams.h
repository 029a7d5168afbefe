#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace berylspring::wire {

enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Dead,
    Left, ///< Stopped by plan.
};

/** @brief The endpoint beside a member, as its node describes it. */
struct EndpointStateFields
{
    core::ServiceId service;
    std::uint32_t slots = 0;
    bool isDraining = false;
    std::uint32_t load = 0; ///< Requests running on the endpoint.
    core::PriorityLevel admittedLevel = 0; ///< Lowest level that the node admits.
    [[nodiscard]] bool operator==(const EndpointStateFields &) const = default;
};
using EndpointState = core::Immutable<EndpointStateFields>;

/** @brief What one member says, or another has heard, of a member. */
struct MemberUpdateFields
{
    core::HostId host;
    core::DataCentreId dataCentre;
    std::string address; ///< IP number.
    std::uint16_t port = 0; ///< Peer port, TCP and UDP.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    std::uint64_t version = 0; ///< Grows with each change of the members below in one incarnation.
    core::Offset appliedOffset = 0; ///< Configuration holds up to here, exclusive.
    std::optional<EndpointState> endpoint;
    [[nodiscard]] bool operator==(const MemberUpdateFields &) const = default;
};
using MemberUpdate = core::Immutable<MemberUpdateFields>;

struct PingFields
{
    std::uint64_t sequence = 0;
    MemberUpdate sender;
    std::vector<MemberUpdate> updates;
    [[nodiscard]] bool operator==(const PingFields &) const = default;
};
using Ping = core::Immutable<PingFields>;

struct PingAckFields
{
    std::uint64_t sequence = 0; ///< Of the Ping, or of the PingRequest when it is relayed.
    core::HostId target; ///< The member that is shown to be alive.
    MemberUpdate sender;
    std::vector<MemberUpdate> updates;
    [[nodiscard]] bool operator==(const PingAckFields &) const = default;
};
using PingAck = core::Immutable<PingAckFields>;

/** @brief Asks the receiver to ping the target on behalf of the sender. */
struct PingRequestFields
{
    std::uint64_t sequence = 0;
    core::HostId target;
    MemberUpdate sender;
    [[nodiscard]] bool operator==(const PingRequestFields &) const = default;
};
using PingRequest = core::Immutable<PingRequestFields>;

/** @brief The sender's configuration now holds up to its appliedOffset. */
struct OffsetNoticeFields
{
    MemberUpdate sender;
    [[nodiscard]] bool operator==(const OffsetNoticeFields &) const = default;
};
using OffsetNotice = core::Immutable<OffsetNoticeFields>;

using Datagram = std::variant<Ping, PingAck, PingRequest, OffsetNotice>;

}
