#pragma once

#include "berylspring/wire/datagram_codec.h"
#include "berylspring/wire/datagrams.h"
#include "berylspring/wire/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace berylspring::wire::detail {

/** @return The encoded datagram without HMAC; its size is not checked. */
[[nodiscard]] std::string encodeDatagram(const OpenedDatagram &datagram);

/**
 * @param bytes Encoded datagram without HMAC; may be malformed.
 * @return The datagram, or Malformed.
 */
[[nodiscard]] Result<OpenedDatagram> decodeDatagram(std::string_view bytes);

}
