#pragma once

#include "berylspring/wire/datagrams.h"

#include <cstddef>

namespace berylspring::membership {

/** @brief Upper estimate of the digest, sender, boot id, sequence number and envelope of a datagram, in bytes. */
inline constexpr std::size_t DatagramOverheadBytes = 176;

/** @return Upper estimate of the encoded size of a record, in bytes. */
[[nodiscard]] std::size_t estimatedBytes(const wire::MemberUpdate &update) noexcept;
/** @return Upper estimate of the encoded size of a datagram, in bytes. */
[[nodiscard]] std::size_t estimatedBytes(const wire::Datagram &datagram) noexcept;

}
