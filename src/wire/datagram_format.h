#pragma once

#include "berylspring/wire/datagram_codec.h"
#include "berylspring/wire/datagrams.h"
#include "berylspring/wire/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace berylspring::wire::detail {

/** @return The datagram without its HMAC, of any size. */
[[nodiscard]] std::string encodeDatagram(const OpenedDatagram &datagram);

/**
 * @param bytes A datagram without its HMAC, from any source.
 * @return The datagram, or Malformed.
 */
[[nodiscard]] Result<OpenedDatagram> decodeDatagram(std::string_view bytes);

}
