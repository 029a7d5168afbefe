#pragma once

#include "berylspring/http/error.h"

#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace berylspring::http::detail {

/** @return The TCP endpoint of a server, "127.0.0.1:80" or "[::1]:80", or InvalidAddress. */
[[nodiscard]] Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text);

}
