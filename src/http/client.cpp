#include "berylspring/http/client.h"

#include "berylspring/async/await_on.h"
#include "berylspring/async/strand.h"
#include "http/address.h"
#include "http/beast_convert.h"
#include "http/body_share.h"
#include "http/read_buffer.h"
#include "http/write_all.h"

#include <charconv>
#include <chrono>
#include <functional>
#include <mutex>
#include <string_view>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace berylspring::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;
using Deadline = std::chrono::steady_clock::time_point;

/** Idle time of a connection whose server announces none; common servers close after 5 s or more. */
constexpr std::chrono::seconds DefaultIdleTime(4);
/** Part of the announced idle time during which a connection is reused. */
constexpr std::uint64_t ReusableMsPerAnnouncedSecond = 800;
/** Responses to other requests that are read before the connection is abandoned. */
constexpr int MaxUnrelatedResponses = 3;
/** Informational responses (1xx) to one request that are read before the connection is abandoned. */
constexpr int MaxInformationalResponses = 32;
/** Time in which a process that has closed one connection closes its listening socket, if it ends. */
constexpr std::chrono::milliseconds ListenerCloseTime(20);
/** Connections of one probe that a running server may close at once. */
constexpr int MaxProbeConnections = 3;

/** @brief One connection; used by one exchange at a time. */
struct Connection
{
    explicit Connection(const asio::any_io_executor &executor)
        : stream(executor)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer{detail::ReadBufferBytes};
    std::chrono::steady_clock::time_point reusableUntil = std::chrono::steady_clock::time_point::max(); ///< While idle.
};
using ConnectionPointer = std::shared_ptr<Connection>;

/** @brief Whether an idle connection can be reused: it is within its idle time and not known to be closed. */
bool isReusable(Connection &connection)
{
    if (std::chrono::steady_clock::now() >= connection.reusableUntil) {
        return false;
    }
    error_code error;
    char byte = 0;
    detail::makeNonBlocking(connection.stream.socket(), error);
    connection.stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

/**
 * A server that announces `Keep-Alive: timeout=N` closes an idle connection after N seconds. A request that is sent
 * while the server closes the connection may or may not have run, so the connection is not reused in the last part of
 * the time.
 */
std::chrono::steady_clock::time_point reusableUntil(std::string_view keepAlive,
                                                    std::chrono::steady_clock::time_point now)
{
    constexpr std::string_view Parameter = "timeout=";
    const std::size_t at = keepAlive.find(Parameter);
    std::uint32_t seconds = 0;
    if (at != std::string_view::npos) {
        const char *begin = keepAlive.data() + at + Parameter.size();
        std::from_chars(begin, keepAlive.data() + keepAlive.size(), seconds);
    }
    if (seconds == 0) {
        return now + DefaultIdleTime;
    }
    return now + std::chrono::milliseconds(std::uint64_t{seconds} * ReusableMsPerAnnouncedSecond);
}

constexpr unsigned FirstInformational = 100;
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned FirstSuccess = 200;

/** @brief Whether a final response follows this one (RFC 9110, section 15.2). */
bool isInformational(unsigned status) noexcept
{
    return status >= FirstInformational && status < FirstSuccess && status != SwitchingProtocols;
}

ErrorCode codeOf(const error_code &error)
{
    if (error == beast::error::timeout) {
        return ErrorCode::Timeout;
    }
    if (error == beast::http::error::body_limit || error == beast::http::error::header_limit
        || error == beast::http::error::buffer_overflow) {
        return ErrorCode::TooLarge;
    }
    const bool isSystemError = error.category() == asio::error::get_system_category();
    if (isSystemError || error == asio::error::eof || error == beast::http::error::end_of_stream
        || error == beast::http::error::partial_message) {
        return ErrorCode::ConnectionLost;
    }
    return ErrorCode::Malformed;
}

}

class Client::Implementation : public std::enable_shared_from_this<Client::Implementation>
{
public:
    Implementation(asio::any_io_executor executor, std::string address, ClientOptions options)
        : m_executor(std::move(executor))
        , m_address(std::move(address))
        , m_options(std::move(options))
        , m_idleCheckTimer(m_executor)
    {
    }

    /** @brief Ends the checks of the idle connections. */
    void close()
    {
        const std::scoped_lock lock(m_mutex);
        m_isClosed = true;
        m_idleCheckTimer.cancel();
    }

    asio::awaitable<Result<Response>> send(Request request, core::Duration timeout)
    {
        ConnectionPointer connection = acquireIdle();
        if (!connection) {
            connection = std::make_shared<Connection>(async::makeStrand(m_executor));
        }
        // All operations of the stream run on the connection's strand, because its timer does.
        const asio::any_io_executor strand = connection->stream.get_executor();
        std::function<void()> cancel = [connection] { connection->stream.close(); };
        auto work = exchange(shared_from_this(), connection, std::move(request), timeout);
        co_return co_await async::awaitOn<Result<Response>>(strand, std::move(work), std::move(cancel));
    }

    asio::awaitable<bool> isRefusingConnections(core::Duration timeout)
    {
        const auto connection = std::make_shared<Connection>(async::makeStrand(m_executor));
        const asio::any_io_executor strand = connection->stream.get_executor();
        std::function<void()> cancel = [connection] { connection->stream.close(); };
        co_return co_await async::awaitOn<bool>(
            strand, probe(shared_from_this(), connection, timeout), std::move(cancel));
    }

private:
    static asio::awaitable<bool>
    probe(std::shared_ptr<Implementation> self, ConnectionPointer connection, core::Duration timeout)
    {
        const auto endpoint = detail::parseAddress(self->m_address);
        if (!endpoint) {
            co_return false;
        }
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        for (int connections = 0; connections < MaxProbeConnections; ++connections) {
            error_code error;
            connection->stream.expires_at(deadline);
            co_await connection->stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                connection->stream.close();
                co_return error == asio::error::connection_refused || error == asio::error::connection_reset;
            }
            // A process that ends may close its listening socket last, which resets the connections not yet accepted.
            char byte = 0;
            connection->stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + ListenerCloseTime));
            co_await connection->stream.async_read_some(asio::buffer(&byte, 1),
                                                        asio::redirect_error(asio::use_awaitable, error));
            connection->stream.close();
            if (!error || error == beast::error::timeout) {
                co_return false;
            }
        }
        co_return false;
    }

    static asio::awaitable<Result<Response>> exchange(std::shared_ptr<Implementation> self,
                                                      ConnectionPointer connection,
                                                      Request request,
                                                      core::Duration timeout)
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        if (!connection->stream.socket().is_open()) {
            const Result<void> connected = co_await self->connect(*connection, timeout);
            if (!connected) {
                co_return tl::unexpected(connected.error());
            }
        }
        connection->stream.expires_at(deadline);
        bool keepAlive = false;
        Result<Response> response = co_await self->transfer(*connection, std::move(request), deadline, keepAlive);
        if (response && keepAlive) {
            self->returnToPool(std::move(connection));
        }
        if (!response && response.error().code() == ErrorCode::Timeout && self->m_options.dropsIdleOnTimeout) {
            const std::scoped_lock lock(self->m_mutex);
            self->m_idle.clear();
        }
        co_return response;
    }

    asio::awaitable<Result<void>> connect(Connection &connection, core::Duration timeout)
    {
        const auto endpoint = detail::parseAddress(m_address);
        if (!endpoint) {
            co_return tl::unexpected(endpoint.error());
        }
        error_code error;
        connection.stream.expires_after(std::min(timeout, m_options.connectTimeout));
        co_await connection.stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return tl::unexpected(Error(ErrorCode::Unreachable, false, m_address + ": " + error.message()));
        }
        connection.stream.socket().set_option(tcp::no_delay(true), error);
        co_return Result<void>();
    }

    asio::awaitable<Result<Response>>
    transfer(Connection &connection, Request request, Deadline deadline, bool &keepAlive)
    {
        const std::string head = detail::serializeHead(request, m_address);
        const error_code error = co_await detail::writeAll(connection.stream, head, request->body);
        if (error) {
            co_return tl::unexpected(Error(codeOf(error), true, error.message()));
        }
        for (int unrelated = 0; unrelated < MaxUnrelatedResponses; ++unrelated) {
            Result<Response> response =
                co_await readResponse(connection, request->method == "HEAD", deadline, keepAlive);
            if (!response || !m_options.isAnswerTo || m_options.isAnswerTo(request, *response)) {
                // Bytes after a complete response belong to no request, and a server that has written responses to
                // other requests may write more of them.
                keepAlive = keepAlive && connection.buffer.size() == 0 && unrelated == 0
                            && (!response || !m_options.allowsReuse || m_options.allowsReuse(*response));
                co_return response;
            }
        }
        co_return tl::unexpected(Error(ErrorCode::Malformed, true, "the responses belong to other requests"));
    }

    asio::awaitable<Result<Response>>
    readResponse(Connection &connection, bool isHeadRequest, Deadline deadline, bool &keepAlive)
    {
        for (int informational = 0; informational <= MaxInformationalResponses; ++informational) {
            Result<detail::BeastResponse> message = co_await readMessage(connection, isHeadRequest, deadline);
            if (!message) {
                co_return tl::unexpected(message.error());
            }
            const unsigned status = message->result_int();
            if (isInformational(status)) {
                continue;
            }
            if (status < FirstSuccess) {
                co_return tl::unexpected(Error(ErrorCode::Malformed, true, "status " + std::to_string(status)));
            }
            keepAlive = message->keep_alive();
            const std::string keepAliveField((*message)[beast::http::field::keep_alive]);
            connection.reusableUntil = reusableUntil(keepAliveField, std::chrono::steady_clock::now());
            co_return detail::fromBeast(std::move(*message));
        }
        co_return tl::unexpected(Error(ErrorCode::Malformed, true, "informational responses without a final one"));
    }

    /** @return The next message on the connection, which may be informational. */
    asio::awaitable<Result<detail::BeastResponse>>
    readMessage(Connection &connection, bool isHeadRequest, Deadline deadline)
    {
        error_code error;
        beast::http::response_parser<beast::http::string_body> parser;
        parser.body_limit(m_options.bodyLimitBytes);
        parser.skip(isHeadRequest);
        parser.eager(true);
        detail::BodyShare share(m_options.bodyBudget, m_options.bodyLimitBytes);
        while (!parser.is_done()) {
            co_await beast::http::async_read_some(
                connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return tl::unexpected(Error(codeOf(error), true, error.message()));
            }
            // The timer of the stream does not fire while each read finds bytes that have already arrived.
            if (std::chrono::steady_clock::now() >= deadline) {
                co_return tl::unexpected(Error(ErrorCode::Timeout, true, "the response goes on beyond the timeout"));
            }
            // The parser allocates the whole of a body whose length is announced.
            std::string &body = parser.get().body();
            const bool hasMore = !parser.is_done() && parser.is_header_done() && !parser.content_length();
            if (!share.cover(body) || (hasMore && !share.makeRoom(body))) {
                co_return tl::unexpected(
                    Error(ErrorCode::TooLarge, true, "too many bytes of responses at the same time"));
            }
        }
        co_return parser.release();
    }

    /** @return An open connection, or null. */
    ConnectionPointer acquireIdle()
    {
        const std::scoped_lock lock(m_mutex);
        while (!m_idle.empty()) {
            ConnectionPointer connection = std::move(m_idle.back());
            m_idle.pop_back();
            if (isReusable(*connection)) {
                return connection;
            }
        }
        return nullptr;
    }

    void returnToPool(ConnectionPointer connection)
    {
        connection->stream.expires_never();
        const std::scoped_lock lock(m_mutex);
        if (m_idle.size() < m_options.maxIdleConnections) {
            m_idle.push_back(std::move(connection));
            scheduleIdleCheck();
        }
    }

    /** Called with the lock held. */
    void scheduleIdleCheck()
    {
        const bool isWanted = m_options.idleCheckInterval > core::Duration::zero() && !m_isClosed;
        if (!isWanted || m_isIdleCheckScheduled || m_idle.empty()) {
            return;
        }
        m_isIdleCheckScheduled = true;
        m_idleCheckTimer.expires_after(m_options.idleCheckInterval);
        m_idleCheckTimer.async_wait([weak = weak_from_this()](const error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->closeUnusableIdle();
            }
        });
    }

    /** @brief Closes idle connections whose server has closed them or has sent bytes, which belong to no request. */
    void closeUnusableIdle()
    {
        const std::scoped_lock lock(m_mutex);
        std::erase_if(m_idle, [](const ConnectionPointer &connection) { return !isReusable(*connection); });
        m_isIdleCheckScheduled = false;
        scheduleIdleCheck();
    }

    asio::any_io_executor m_executor;
    std::string m_address;
    ClientOptions m_options;
    std::mutex m_mutex;
    std::vector<ConnectionPointer> m_idle;
    asio::steady_timer m_idleCheckTimer;
    bool m_isIdleCheckScheduled = false;
    bool m_isClosed = false;
};

Client::Client(asio::any_io_executor executor, std::string address, ClientOptions options)
    : m_implementation(std::make_shared<Implementation>(std::move(executor), std::move(address), std::move(options)))
{
}

Client::~Client()
{
    m_implementation->close();
}

asio::awaitable<bool> Client::isRefusingConnections(core::Duration timeout)
{
    const std::shared_ptr<Implementation> implementation = m_implementation;
    co_return co_await implementation->isRefusingConnections(timeout);
}

asio::awaitable<Result<Response>> Client::send(Request request, core::Duration timeout)
{
    const std::shared_ptr<Implementation> implementation = m_implementation;
    co_return co_await implementation->send(std::move(request), timeout);
}

}
