#include "berylspring/http/line_stream.h"

#include "http/address.h"
#include "http/beast_convert.h"
#include "http/read_buffer.h"
#include "http/write_all.h"

#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace berylspring::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

constexpr std::size_t ChunkBytes = 8192;
constexpr std::size_t MaxLineBytes = 1'048'576;

/** @brief Splits a stream of text chunks into lines. */
class LineSplitter
{
public:
    explicit LineSplitter(LineReader onLine)
        : m_onLine(std::move(onLine))
    {
    }
    /** @return Whether to continue; false if the reader stops or a line is longer than MaxLineBytes. */
    bool append(std::string_view chunk)
    {
        m_incompleteLine += chunk;
        std::size_t end = m_incompleteLine.find('\n');
        while (end != std::string::npos) {
            const std::string line = m_incompleteLine.substr(0, end);
            m_incompleteLine.erase(0, end + 1);
            if (!m_onLine(line)) {
                return false;
            }
            end = m_incompleteLine.find('\n');
        }
        return m_incompleteLine.size() <= MaxLineBytes;
    }

private:
    LineReader m_onLine;
    std::string m_incompleteLine;
};

Error connectionLost(const error_code &error)
{
    return {ErrorCode::ConnectionLost, true, error.message()};
}

}

asio::awaitable<Result<unsigned>> readLines(std::string address, Request request, LineReader onLine)
{
    const auto endpoint = detail::parseAddress(address);
    if (!endpoint) {
        co_return tl::unexpected(endpoint.error());
    }
    error_code error;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    co_await stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return tl::unexpected(Error(ErrorCode::Unreachable, false, address + ": " + error.message()));
    }
    const std::string head = detail::serializeHead(request, address);
    error = co_await detail::writeAll(stream, head, request->body);
    if (error) {
        co_return tl::unexpected(connectionLost(error));
    }
    beast::flat_buffer buffer(detail::ReadBufferBytes);
    beast::http::response_parser<beast::http::buffer_body> parser;
    parser.body_limit(boost::none);
    co_await beast::http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return tl::unexpected(connectionLost(error));
    }
    const unsigned status = parser.get().result_int();
    LineSplitter lines(std::move(onLine));
    std::array<char, ChunkBytes> chunk{};
    while (status == 200 && !parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        co_await beast::http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error && error != beast::http::error::need_buffer) {
            co_return tl::unexpected(connectionLost(error));
        }
        if (!lines.append(std::string_view(chunk.data(), chunk.size() - parser.get().body().size))) {
            break;
        }
    }
    co_return status;
}

}
