#pragma once

#include "berylspring/wire/datagrams.h"
#include "berylspring/wire/messages.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <rapidcheck.h>

/** @brief Generators of random messages, for use within properties. */
namespace berylspring::test::any {

template<typename Value>
Value value()
{
    return *rc::gen::arbitrary<Value>();
}

inline std::string text()
{
    return value<std::string>();
}

template<typename Name>
Name name()
{
    return Name(text());
}

inline core::Duration duration()
{
    return core::Duration(value<std::int64_t>());
}

inline double number()
{
    return static_cast<double>(value<std::int32_t>()) / 1024.0;
}

template<typename Enumeration>
Enumeration enumerator(Enumeration last)
{
    return static_cast<Enumeration>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}

inline std::vector<wire::EndpointLeave> endpointLeaves()
{
    std::vector<wire::EndpointLeave> leaves(*rc::gen::inRange<std::size_t>(0, 4));
    for (wire::EndpointLeave &leave : leaves) {
        leave = {text(), value<std::uint64_t>()};
    }
    return leaves;
}

inline core::PriorityLevel priority()
{
    return *rc::gen::inRange<core::PriorityLevel>(0, core::MaxPriority + 1);
}

inline core::Digest digest()
{
    return core::sha256(text());
}

template<typename Make>
auto optional(Make &&make) -> std::optional<decltype(make())>
{
    if (value<bool>()) {
        return make();
    }
    return std::nullopt;
}

template<typename Make>
auto list(Make &&make) -> std::vector<decltype(make())>
{
    std::vector<decltype(make())> values;
    for (int count = *rc::gen::inRange(0, 5); count > 0; --count) {
        values.push_back(make());
    }
    return values;
}

inline wire::Headers headers()
{
    return list([] { return wire::Header{text(), text()}; });
}

inline wire::CallRequest callRequest()
{
    wire::CallRequestFields fields;
    fields.service = name<core::ServiceId>();
    fields.route = name<core::RouteId>();
    fields.method = text();
    fields.target = text();
    fields.headers = headers();
    fields.body = text();
    fields.workspace = name<core::WorkspaceId>();
    fields.keyDigest = optional(digest);
    fields.priority = priority();
    fields.isNested = value<bool>();
    fields.isIdempotent = value<bool>();
    fields.remaining = duration();
    fields.retryAllowance = value<std::uint32_t>();
    fields.traceParent = text();
    fields.claimName = text();
    fields.requestId = text();
    fields.isSuspect = value<bool>();
    fields.answerGrace = duration();
    fields.rootRemaining = duration();
    return wire::CallRequest(fields);
}

inline core::Refusal refusal()
{
    const core::Refusal plain(enumerator(core::RefusalReason::Cancelled), enumerator(core::Outcome::Unknown), text());
    return value<bool>() ? plain.withRetryAfter(duration()) : plain;
}

inline wire::CallResponse callResponse()
{
    wire::CallResponseFields fields;
    fields.status = value<std::uint16_t>();
    fields.headers = headers();
    fields.body = text();
    fields.refusal = optional(refusal);
    fields.retriesSpent = value<std::uint32_t>();
    fields.admittedLevel = priority();
    fields.inFlight = value<std::uint32_t>();
    fields.pressure = value<bool>() ? 0.5 : 3;
    fields.hasEndpointCrashed = value<bool>();
    fields.queueTime = duration();
    fields.serviceTime = duration();
    fields.outstandingWork = value<bool>() ? 0.25 : 0;
    fields.pace = value<bool>() ? 1.5 : 0;
    return wire::CallResponse(fields);
}

inline wire::LoanRecord loanRecord()
{
    return {name<core::DataCentreId>(), value<bool>(), number(), number(), duration()};
}

inline wire::ClaimRecord claimRecord()
{
    return wire::ClaimRecord(wire::ClaimRecordFields{text(),
                                                     name<core::HostId>(),
                                                     value<std::uint64_t>(),
                                                     value<std::uint64_t>(),
                                                     digest(),
                                                     enumerator(wire::ClaimState::Released),
                                                     optional(callResponse),
                                                     duration()});
}

inline wire::RecordBatch recordBatch()
{
    return wire::RecordBatch(wire::RecordBatchFields{optional(text),
                                                     value<std::uint64_t>(),
                                                     list([] {
                                                         return wire::LogEntry{value<std::uint64_t>(), text()};
                                                     }),
                                                     optional(duration)});
}

/** @param index Index of the alternative in wire::Message. */
inline wire::Message message(std::size_t index)
{
    using namespace wire;
    const std::vector<std::function<Message()>> makers{
        [] { return Ack(); },
        [] { return Refused(RefusedFields{text()}); },
        [] { return callRequest(); },
        [] { return callResponse(); },
        [] {
            return HomeRequest(HomeRequestFields{callRequest(), duration(), value<std::uint64_t>()});
        },
        [] {
            return GrantRequest(GrantRequestFields{name<core::WorkspaceId>(), value<std::uint32_t>()});
        },
        [] {
            return GrantReply(
                GrantReplyFields{enumerator(GrantStatus::NotOwner), value<std::uint32_t>(), duration(), duration()});
        },
        [] {
            return LoanRequest(
                LoanRequestFields{name<core::WorkspaceId>(), name<core::DataCentreId>(), number(), number()});
        },
        [] {
            return LoanReply(LoanReplyFields{value<bool>(), number(), number(), number(), duration()});
        },
        [] { return HandoverRequest(HandoverRequestFields{name<core::WorkspaceId>()}); },
        [] {
            return HandoverReply(HandoverReplyFields{value<bool>(), number(), list(loanRecord)});
        },
        [] {
            return ClaimRequest(ClaimRequestFields{claimRecord(), value<bool>(), duration()});
        },
        [] {
            return ClaimReply(
                ClaimReplyFields{value<bool>(), optional(claimRecord), duration(), value<std::uint64_t>()});
        },
        [] { return ClaimHandover(ClaimHandoverFields{list(claimRecord)}); },
        [] {
            return RecordPull(RecordPullFields{value<std::uint64_t>(), value<std::uint32_t>()});
        },
        [] { return recordBatch(); },
        [] {
            return Tombstone(TombstoneFields{name<core::KeyId>(), digest(), text()});
        },
        [] {
            return QuarantineNotice(QuarantineNoticeFields{digest(), duration()});
        },
        [] { return EndpointLeaveNotice(EndpointLeaveNoticeFields{endpointLeaves()}); },
        [] { return EndpointLeaveQuery(); },
        [] {
            return EndpointLeaveReply(EndpointLeaveReplyFields{endpointLeaves(), value<bool>()});
        },
    };
    static_assert(std::variant_size_v<Message> == 21, "add a maker for each new message");
    return makers.at(index)();
}

inline wire::Message message()
{
    return message(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<wire::Message>));
}

inline wire::EndpointState endpointState()
{
    return wire::EndpointState(wire::EndpointStateFields{
        name<core::ServiceId>(), value<std::uint32_t>(), value<bool>(), value<std::uint32_t>(), priority()});
}

/** @brief A member update with names short enough that nine updates fit into a datagram. */
inline wire::MemberUpdate memberUpdate()
{
    wire::MemberUpdateFields fields;
    fields.host = core::HostId("host-" + std::to_string(value<std::uint16_t>()));
    fields.dataCentre = core::DataCentreId("dc-" + std::to_string(*rc::gen::inRange(0, 9)));
    fields.address = "10.20.30." + std::to_string(value<std::uint8_t>());
    fields.port = value<std::uint16_t>();
    fields.incarnation = value<std::uint64_t>();
    fields.state = enumerator(wire::MemberState::Left);
    fields.version = value<std::uint64_t>();
    fields.appliedOffset = value<std::uint64_t>();
    fields.endpoint =
        optional([] { return endpointState().with(&wire::EndpointStateFields::service, core::ServiceId("dispatch")); });
    return wire::MemberUpdate(fields);
}

inline wire::Datagram datagram()
{
    const auto sequence = value<std::uint64_t>();
    const auto target = core::HostId("target");
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return wire::Ping(wire::PingFields{sequence, memberUpdate(), list(memberUpdate)});
    case 1:
        return wire::PingAck(wire::PingAckFields{sequence, target, memberUpdate(), list(memberUpdate)});
    case 2:
        return wire::PingRequest(wire::PingRequestFields{sequence, target, memberUpdate()});
    default:
        return wire::OffsetNotice(wire::OffsetNoticeFields{memberUpdate()});
    }
}

}
