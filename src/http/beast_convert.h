#pragma once

#include "berylspring/http/messages.h"

#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace berylspring::http::detail {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

[[nodiscard]] Request fromBeast(BeastRequest &&message);
[[nodiscard]] Response fromBeast(BeastResponse &&message);
/**
 * @param host Value of `Host` if the request has none.
 * @return The message up to its body. Writing it takes less processor time than a serializer of Beast.
 */
[[nodiscard]] std::string serializeHead(const Request &request, const std::string &host);
/** @param keepAlive Whether the connection stays open after the response. */
[[nodiscard]] std::string serializeHead(const Response &response, bool keepAlive);
/** @return The body as it is written, which is empty for a status without one (RFC 9110, section 6.4.1). */
[[nodiscard]] std::string_view bodyOf(const Response &response) noexcept;

}
