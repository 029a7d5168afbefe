#include "berylspring/eventlog/http_log.h"

#include "eventlog/log_json.h"

#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace berylspring::eventlog {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t MaxIdleConnections = 4;
/** Limits the memory used by one response. */
constexpr std::uint64_t MaxResponseBytes = 64ULL * 1024 * 1024;
/** Lower ones are informational, or no status at all. */
constexpr unsigned FirstFinalStatus = 200;
constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/** @brief A connection whose stream is used only on its own strand, as required by the timeouts of Beast. */
struct Connection
{
    explicit Connection(const asio::any_io_executor &executor)
        : stream(asio::make_strand(executor))
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool isConnected = false;
};
using ResponseChannel = asio::experimental::concurrent_channel<void(boost::system::error_code, Result<Response>)>;
using ConnectionPtr = std::shared_ptr<Connection>;

/** @brief One request with its timeout. */
struct Exchange
{
    Request request;
    core::Duration timeout;
    bool isAppend = false;
};

/** Detects an idle connection that the log has closed; an append sent on it would have an unknown outcome. */
bool isStillOpen(Connection &connection)
{
    char byte = 0;
    boost::system::error_code ec;
    auto &socket = connection.stream.socket();
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block;
}

Error errorOf(const boost::system::error_code &ec, bool maybeApplied)
{
    const auto code = ec == beast::error::timeout ? ErrorCode::Timeout : ErrorCode::Unreachable;
    return {code, maybeApplied, "log: " + ec.message()};
}

class HttpLog
{
public:
    HttpLog(asio::any_io_executor executor, std::string address, std::uint16_t port, LogTimeouts timeouts)
        : m_executor(std::move(executor))
        , m_address(std::move(address))
        , m_port(port)
        , m_timeouts(timeouts)
    {
    }

    static asio::awaitable<Result<core::Offset>>
    append(std::shared_ptr<HttpLog> self, std::string stream, std::string data)
    {
        Exchange exchange{
            Request(http::verb::post, "/streams/" + stream + "/records", 11), self->m_timeouts.request, true};
        exchange.request.body() = std::move(data);
        auto response = co_await perform(self, std::move(exchange));
        if (!response) {
            co_return tl::unexpected(response.error());
        }
        if (http::to_status_class(response->result()) == http::status_class::successful) {
            co_return detail::parseAppendResponse(response->body());
        }
        co_return tl::unexpected(refused(*response, true));
    }

    static asio::awaitable<Result<LogPage>>
    read(std::shared_ptr<HttpLog> self, std::string stream, core::Offset from, std::uint32_t limit, core::Duration wait)
    {
        const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        const std::string target = "/streams/" + stream + "/records?from=" + std::to_string(from)
                                   + "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(waitMs);
        Exchange exchange{Request(http::verb::get, target, 11), self->m_timeouts.request + wait, false};
        auto response = co_await perform(self, std::move(exchange));
        if (!response) {
            co_return tl::unexpected(response.error());
        }
        if (response->result() == http::status::ok) {
            co_return detail::parseLogPage(response->body());
        }
        if (response->result() == http::status::gone) {
            co_return tl::unexpected(detail::parseExpired(response->body()));
        }
        co_return tl::unexpected(refused(*response, false));
    }

private:
    static Error refused(const Response &response, bool isAppend)
    {
        // 500, 502 and 504 may come from servers or proxies that have forwarded the append, and a status that no final
        // response has tells nothing.
        const auto status = response.result();
        const bool isInDoubt = status == http::status::internal_server_error || status == http::status::bad_gateway
                               || status == http::status::gateway_timeout || response.result_int() < FirstFinalStatus;
        return {ErrorCode::Refused, isAppend && isInDoubt, "log: status " + std::to_string(response.result_int())};
    }

    static asio::awaitable<Result<Response>> perform(std::shared_ptr<HttpLog> self, Exchange exchange)
    {
        exchange.request.set(http::field::host, self->m_address);
        exchange.request.prepare_payload();
        const bool isAppend = exchange.isAppend;
        ConnectionPtr connection = self->acquireIdle();
        auto channel = std::make_shared<ResponseChannel>(self->m_executor, 1);
        asio::co_spawn(connection->stream.get_executor(),
                       performOn(self, connection, std::move(exchange)),
                       [channel](const std::exception_ptr &, Result<Response> response) {
                           channel->try_send(boost::system::error_code(), std::move(response));
                       });
        auto [ec, response] = co_await channel->async_receive(UseTuple);
        if (ec) {
            // The waiting coroutine was cancelled; the stream may be used only on its own strand.
            asio::post(connection->stream.get_executor(), [connection] { connection->stream.cancel(); });
            co_return tl::unexpected(Error(ErrorCode::Unreachable, isAppend, "log: cancelled"));
        }
        co_return std::move(response);
    }

    /** Runs on the strand of the connection. */
    static asio::awaitable<Result<Response>>
    performOn(std::shared_ptr<HttpLog> self, ConnectionPtr connection, Exchange exchange)
    {
        if (connection->isConnected && !isStillOpen(*connection)) {
            connection->stream.close();
            connection->buffer.clear();
            connection->isConnected = false;
        }
        if (!connection->isConnected) {
            const auto connected = co_await connect(self, connection);
            if (!connected) {
                co_return tl::unexpected(connected.error());
            }
        }
        connection->stream.expires_after(exchange.timeout);
        const auto [writeError, written] = co_await http::async_write(connection->stream, exchange.request, UseTuple);
        if (writeError) {
            co_return tl::unexpected(errorOf(writeError, exchange.isAppend));
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxResponseBytes);
        const auto [readError, received] =
            co_await http::async_read(connection->stream, connection->buffer, parser, UseTuple);
        if (readError) {
            co_return tl::unexpected(errorOf(readError, exchange.isAppend));
        }
        connection->stream.expires_never();
        Response response = parser.release();
        if (response.keep_alive()) {
            self->returnToPool(std::move(connection));
        }
        co_return response;
    }

    static asio::awaitable<Result<bool>> connect(std::shared_ptr<HttpLog> self, ConnectionPtr connection)
    {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(self->m_address, ec);
        if (ec) {
            co_return tl::unexpected(errorOf(ec, false));
        }
        const asio::ip::tcp::endpoint endpoint(address, self->m_port);
        connection->stream.expires_after(self->m_timeouts.connect);
        const auto [connectError] = co_await connection->stream.async_connect(endpoint, UseTuple);
        if (connectError) {
            co_return tl::unexpected(errorOf(connectError, false));
        }
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
        connection->isConnected = true;
        co_return true;
    }

    ConnectionPtr acquireIdle()
    {
        const std::scoped_lock lock(m_mutex);
        if (m_idle.empty()) {
            return std::make_shared<Connection>(m_executor);
        }
        ConnectionPtr connection = std::move(m_idle.back());
        m_idle.pop_back();
        return connection;
    }

    void returnToPool(ConnectionPtr connection)
    {
        const std::scoped_lock lock(m_mutex);
        if (m_idle.size() < MaxIdleConnections) {
            m_idle.push_back(std::move(connection));
        }
    }

    const asio::any_io_executor m_executor;
    const std::string m_address;
    const std::uint16_t m_port;
    const LogTimeouts m_timeouts;
    std::mutex m_mutex;
    std::vector<ConnectionPtr> m_idle;
};

}

LogHooks makeHttpLog(asio::any_io_executor executor, std::string address, std::uint16_t port, LogTimeouts timeouts)
{
    auto log = std::make_shared<HttpLog>(std::move(executor), std::move(address), port, timeouts);
    LogHooks hooks;
    hooks.append = [log](std::string stream, std::string data) {
        return HttpLog::append(log, std::move(stream), std::move(data));
    };
    hooks.read = [log](std::string stream, core::Offset from, std::uint32_t limit, core::Duration wait) {
        return HttpLog::read(log, std::move(stream), from, limit, wait);
    };
    return hooks;
}

}
