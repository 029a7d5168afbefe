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

/** @brief Largest datagram; stays below the usual MTU of 1500 bytes with the headers of IPv6 and UDP. */
inline constexpr std::size_t MaxDatagramBytes = 1400;

/** @brief A datagram whose sender has proved the fleet secret. */
struct OpenedDatagram
{
    core::HostId sender;
    std::uint64_t bootId = 0; ///< Of the sender; grows with each of its starts.
    std::uint64_t sequence = 0; ///< Grows with each datagram of one boot id.
    Datagram datagram;
    [[nodiscard]] bool operator==(const OpenedDatagram &) const = default;
};

/** @brief Signs datagrams and checks received ones. Safe to use from several threads. */
class DatagramCodec
{
public:
    /**
     * @param secret Fleet secret.
     * @param self Host that signs; its own datagrams are refused when they come back.
     * @param bootId Must be larger than at the previous start of this host.
     */
    DatagramCodec(std::string secret, core::HostId self, std::uint64_t bootId);
    ~DatagramCodec();
    DatagramCodec(const DatagramCodec &) = delete;
    DatagramCodec &operator=(const DatagramCodec &) = delete;

    /** @return The bytes to send, or TooLarge when they exceed MaxDatagramBytes. */
    [[nodiscard]] Result<std::string> seal(const Datagram &datagram);

    /**
     * @brief Checks the HMAC, the content, and that the datagram was not opened before.
     * @return The datagram; TooLarge, NotAuthenticated (wrong HMAC, replayed, old boot id, own) or Malformed.
     */
    [[nodiscard]] Result<OpenedDatagram> open(std::string_view bytes);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
