#pragma once

#include "berylspring/wire/messages.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace berylspring::wire {

/** @brief What the bytes between nodes are sent for. */
enum class TrafficClass : std::size_t {
    Call, ///< Requests of callers, their answers and cancellations.
    Limit, ///< Grants, loans and hand-overs of rate limits.
    Claim, ///< Claims of idempotency keys.
    Configuration,
    Quarantine,
    EndpointLeave, ///< Leaves of endpoints that other nodes keep.
    Membership, ///< Datagrams, which carry load reports too.
    KeepAlive,
    Handshake,
    Other,
};
inline constexpr std::size_t TrafficClassCount = static_cast<std::size_t>(TrafficClass::Other) + 1;

/** @return Lower case with underscores, for example "keep_alive". */
[[nodiscard]] std::string_view toString(TrafficClass trafficClass) noexcept;
/** @return The class of a request, or of an answer other than Ack and Refused, which belong to several. */
[[nodiscard]] TrafficClass trafficClassOf(const Message &message) noexcept;

/** @brief Bytes of one class that a node has sent since its start. */
struct TrafficCount
{
    std::uint64_t withinDataCentre = 0;
    std::uint64_t betweenDataCentres = 0;
    [[nodiscard]] bool operator==(const TrafficCount &) const = default;
};

/** @brief Counts the payload bytes that a node sends to other nodes. Thread-safe. */
class TrafficMeter
{
public:
    /** @param isRemote Whether the receiver is in another data centre. */
    void record(TrafficClass trafficClass, bool isRemote, std::size_t bytes) noexcept;
    [[nodiscard]] TrafficCount count(TrafficClass trafficClass) const noexcept;

private:
    struct Counter
    {
        std::atomic<std::uint64_t> local{0};
        std::atomic<std::uint64_t> remote{0};
    };
    std::array<Counter, TrafficClassCount> m_counters;
};

}
