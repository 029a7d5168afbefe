#pragma once

#include "berylspring/core/name.h"
#include "berylspring/wire/datagrams.h"
#include "berylspring/wire/error.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace berylspring::wire {

/** @brief Size limit of a datagram; with IPv6 and UDP headers it fits into the usual MTU of 1500 bytes. */
inline constexpr std::size_t MaxDatagramBytes = 1400;

/** @brief An authenticated datagram with its sender and sequence number. */
struct OpenedDatagram
{
    core::HostId sender;
    std::uint64_t bootId = 0; ///< Of the sender; increases with each start of the process.
    std::uint64_t sequence = 0; ///< Increases with each datagram of one boot id.
    Datagram datagram;
    [[nodiscard]] bool operator==(const OpenedDatagram &) const = default;
};

/** @brief Signs outgoing datagrams and authenticates received ones with HMAC-SHA-256. Thread-safe. */
class DatagramCodec
{
public:
    /**
     * @param secret Fleet secret, the key of the HMAC.
     * @param self Id of this host; datagrams that carry it as the sender are rejected on receipt.
     * @param bootId Must be larger than at the previous start of this host, otherwise receivers reject its datagrams.
     */
    DatagramCodec(std::string secret, core::HostId self, std::uint64_t bootId);
    ~DatagramCodec();
    DatagramCodec(const DatagramCodec &) = delete;
    DatagramCodec &operator=(const DatagramCodec &) = delete;

    /** @return The encoded and signed datagram, or TooLarge if it exceeds MaxDatagramBytes. */
    [[nodiscard]] Result<std::string> seal(const Datagram &datagram);

    /**
     * @brief Verifies the HMAC, decodes the content and rejects replayed datagrams.
     * @return The datagram, or TooLarge, Malformed or NotAuthenticated (wrong HMAC, replay, outdated boot id, or this
     * host as the sender).
     */
    [[nodiscard]] Result<OpenedDatagram> open(std::string_view bytes);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
