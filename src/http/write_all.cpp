#include "http/write_all.h"

#include <algorithm>
#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace berylspring::http::detail {

namespace asio = boost::asio;

namespace {

/** @return Buffers of the message after the first bytes. */
std::array<asio::const_buffer, 2> messageFrom(std::size_t offset, std::string_view head, std::string_view body)
{
    const std::size_t offsetInHead = std::min(offset, head.size());
    return {asio::buffer(head.substr(offsetInHead)), asio::buffer(body.substr(offset - offsetInHead))};
}

}

asio::awaitable<boost::system::error_code>
writeAll(boost::beast::tcp_stream &stream, std::string_view head, std::string_view body)
{
    boost::system::error_code error;
    makeNonBlocking(stream.socket(), error);
    const std::size_t written = error ? 0 : stream.socket().write_some(messageFrom(0, head, body), error);
    const bool isUnfinished = !error && written < head.size() + body.size();
    if (!isUnfinished && error != asio::error::would_block && error != asio::error::try_again) {
        co_return error;
    }
    error = {};
    co_await asio::async_write(
        stream, messageFrom(written, head, body), asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

}
