#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/address.hpp>

namespace berylspring::core {

/**
 * @return The IP number in a text if it is one that a single host can have; nothing for other text and for unspecified,
 * multicast and broadcast numbers.
 */
[[nodiscard]] std::optional<boost::asio::ip::address> parseHostAddress(std::string_view text);

}
