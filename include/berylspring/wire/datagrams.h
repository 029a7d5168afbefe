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
    Left, ///< Left the fleet in a planned shutdown.
};

/** @brief State of a member's local endpoint as reported by its node. */
struct EndpointStateFields
{
    core::ServiceId service;
    std::uint32_t slots = 0;
    bool isDraining = false;
    std::uint32_t load = 0; ///< Requests in flight on the endpoint.
    core::PriorityLevel admittedLevel = 0; ///< Lowest priority level that the node admits.
    double coldRate = 0; ///< Requests per second that the cold endpoint tolerates; 0: it is not cold.
    [[nodiscard]] bool operator==(const EndpointStateFields &) const = default;
};
using EndpointState = core::Immutable<EndpointStateFields>;

/** @brief Membership state of one member, reported by itself or passed on by another member. */
struct MemberUpdateFields
{
    core::HostId host;
    core::DataCentreId dataCentre;
    std::string address; ///< IP address.
    std::uint16_t port = 0; ///< Peer port for TCP and UDP.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    std::uint64_t version = 0; ///< Increases with each change of the fields below within one incarnation.
    core::Offset appliedOffset = 0; ///< First offset of the configuration log that is not applied yet.
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
    std::uint64_t sequence = 0; ///< Sequence number of the Ping, or of the PingRequest for an indirect probe.
    core::HostId target; ///< The member whose liveness is confirmed.
    MemberUpdate sender;
    std::vector<MemberUpdate> updates;
    [[nodiscard]] bool operator==(const PingAckFields &) const = default;
};
using PingAck = core::Immutable<PingAckFields>;

/** @brief Indirect probe: asks the receiver to ping the target on behalf of the sender. */
struct PingRequestFields
{
    std::uint64_t sequence = 0;
    core::HostId target;
    MemberUpdate sender;
    [[nodiscard]] bool operator==(const PingRequestFields &) const = default;
};
using PingRequest = core::Immutable<PingRequestFields>;

/** @brief Announces that the sender has applied the configuration log up to its appliedOffset. */
struct OffsetNoticeFields
{
    MemberUpdate sender;
    [[nodiscard]] bool operator==(const OffsetNoticeFields &) const = default;
};
using OffsetNotice = core::Immutable<OffsetNoticeFields>;

using Datagram = std::variant<Ping, PingAck, PingRequest, OffsetNotice>;

}
