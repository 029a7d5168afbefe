#pragma once

#include "berylspring/http/error.h"
#include "berylspring/http/messages.h"

#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

namespace berylspring::http {

/** @brief Called with one line without its line feed; returns whether to continue reading. */
using LineReader = std::function<bool(std::string_view line)>;

/**
 * @brief Sends a request and reads the response line by line as it arrives.
 * @param address IP number and port of the server.
 * @param request The request.
 * @param onLine Called for each line of a response with status 200.
 * @return Status of the response, or the error if the connection failed. Cancelling the wait closes the connection.
 */
[[nodiscard]] boost::asio::awaitable<Result<unsigned>>
readLines(std::string address, Request request, LineReader onLine);

}
