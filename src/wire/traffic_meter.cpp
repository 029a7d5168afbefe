#include "berylspring/wire/traffic_meter.h"

#include <type_traits>

namespace berylspring::wire {

namespace {

template<typename Type, typename... Others>
constexpr bool isOneOf = (std::is_same_v<Type, Others> || ...);

template<typename Type>
constexpr TrafficClass classOf() noexcept
{
    if constexpr (isOneOf<Type, CallRequest, CallResponse, HomeRequest>) {
        return TrafficClass::Call;
    } else if constexpr (
        isOneOf<Type, GrantRequest, GrantReply, LoanRequest, LoanReply, HandoverRequest, HandoverReply>) {
        return TrafficClass::Limit;
    } else if constexpr (isOneOf<Type, ClaimRequest, ClaimReply, ClaimHandover>) {
        return TrafficClass::Claim;
    } else if constexpr (isOneOf<Type, RecordPull, RecordBatch, Tombstone>) {
        return TrafficClass::Configuration;
    } else if constexpr (isOneOf<Type, QuarantineNotice>) {
        return TrafficClass::Quarantine;
    } else if constexpr (isOneOf<Type, EndpointLeaveNotice, EndpointLeaveQuery, EndpointLeaveReply>) {
        return TrafficClass::EndpointLeave;
    } else {
        return TrafficClass::Other;
    }
}

}

std::string_view toString(TrafficClass trafficClass) noexcept
{
    switch (trafficClass) {
    case TrafficClass::Call:
        return "call";
    case TrafficClass::Limit:
        return "limit";
    case TrafficClass::Claim:
        return "claim";
    case TrafficClass::Configuration:
        return "configuration";
    case TrafficClass::Quarantine:
        return "quarantine";
    case TrafficClass::EndpointLeave:
        return "endpoint_leave";
    case TrafficClass::Membership:
        return "membership";
    case TrafficClass::KeepAlive:
        return "keep_alive";
    case TrafficClass::Handshake:
        return "handshake";
    case TrafficClass::Other:
        return "other";
    }
    return "invalid";
}

TrafficClass trafficClassOf(const Message &message) noexcept
{
    return std::visit([](const auto &alternative) { return classOf<std::decay_t<decltype(alternative)>>(); }, message);
}

void TrafficMeter::record(TrafficClass trafficClass, bool isRemote, std::size_t bytes) noexcept
{
    Counter &counter = m_counters[static_cast<std::size_t>(trafficClass)];
    (isRemote ? counter.remote : counter.local).fetch_add(bytes, std::memory_order_relaxed);
}

TrafficCount TrafficMeter::count(TrafficClass trafficClass) const noexcept
{
    const Counter &counter = m_counters[static_cast<std::size_t>(trafficClass)];
    return {counter.local.load(std::memory_order_relaxed), counter.remote.load(std::memory_order_relaxed)};
}

}
