#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/wire/messages.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace berylspring::wire::detail {

/** @brief Identifies one request of one connection; the answer carries the same key. */
struct RequestKey
{
    std::uint64_t epoch = 0; ///< Id of the connection, unique within the client's process.
    std::uint64_t number = 0; ///< Unique on the connection; 0 in frames that are neither request nor answer.
    [[nodiscard]] auto operator<=>(const RequestKey &) const = default;
};

inline constexpr std::size_t NonceByteCount = 16;
using Nonce = std::array<std::uint8_t, NonceByteCount>;

/** @brief First frame of each side of the handshake. */
struct HelloFields
{
    std::uint32_t protocol = 0;
    core::HostId host;
    std::uint64_t bootId = 0;
    Nonce nonce{};
    std::string dataCentre;
    std::uint64_t dictionary = 0; ///< Hash of the compression dictionary; 0: none.
    [[nodiscard]] bool operator==(const HelloFields &) const = default;
};
using Hello = core::Immutable<HelloFields>;

/** @brief Second frame of each side of the handshake: proves knowledge of the fleet secret. */
struct HelloProofFields
{
    core::Digest proof;
    [[nodiscard]] bool operator==(const HelloProofFields &) const = default;
};
using HelloProof = core::Immutable<HelloProofFields>;

/** @brief Cancels the request with the key of the frame. */
struct CallCancel
{
    [[nodiscard]] bool operator==(const CallCancel &) const = default;
};

struct Heartbeat
{
    [[nodiscard]] bool operator==(const Heartbeat &) const = default;
};

using Payload = std::variant<Hello, HelloProof, CallCancel, Heartbeat, Message>;

/** @brief One frame of a peer connection. Mutable, so that payloads with large bodies can be moved out. */
struct Envelope
{
    RequestKey key;
    Payload payload;
    [[nodiscard]] bool operator==(const Envelope &) const = default;
};

}
