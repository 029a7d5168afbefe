#pragma once

#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace berylspring::http::detail {

/** @brief Lets synchronous operations of the socket return would_block in place of waiting. */
inline void makeNonBlocking(boost::asio::ip::tcp::socket &socket, boost::system::error_code &error)
{
    // Setting the mode takes a system call even if it is set already.
    if (!socket.non_blocking()) {
        socket.non_blocking(true, error);
    }
}

/**
 * @brief Writes the head and the body of a message within the timeout of the stream.
 *
 * What fits into the buffer of the socket, which is nearly always all of it, is written at once, without the cost of an
 * asynchronous operation and its timer.
 * @param head Like `body`, must live until the coroutine has ended.
 */
[[nodiscard]] boost::asio::awaitable<boost::system::error_code>
writeAll(boost::beast::tcp_stream &stream, std::string_view head, std::string_view body);

}
