#pragma once

#include "berylspring/http/messages.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace berylspring::http::detail {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

[[nodiscard]] Request fromBeast(BeastRequest &&message);
[[nodiscard]] Response fromBeast(BeastResponse &&message);
/** @param host Value of `Host` if the request has none. */
[[nodiscard]] BeastRequest toBeast(const Request &request, const std::string &host);
[[nodiscard]] BeastResponse toBeast(const Response &response, bool keepAlive);

}
