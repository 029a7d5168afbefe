#include "berylspring/http/server.h"

#include "berylspring/async/strand.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/http/problem.h"
#include "http/beast_convert.h"
#include "http/write_all.h"

#include <array>
#include <atomic>
#include <deque>
#include <optional>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
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
using beast::http::string_body;
using boost::system::error_code;

using Parser = beast::http::request_parser<string_body>;

/** @brief One request of a connection, from its arrival until its response is written. */
struct Exchange
{
    bool keepAlive = false;
    bool isDone = false;
    std::optional<Reply> reply; ///< If empty when done, the request was cancelled.
    asio::cancellation_signal cancellation;
};

/** @brief State of one connection; all members are accessed on its strand. */
struct Session
{
    explicit Session(tcp::socket socket)
        : stream(std::move(socket))
        , idleTimer(stream.get_executor())
        , changed(stream.get_executor(), asio::steady_timer::time_point::max())
    {
    }

    [[nodiscard]] bool isIdle() const
    {
        return exchanges.empty() && !isReading;
    }

    beast::tcp_stream stream;
    asio::steady_timer idleTimer; ///< Closes an idle connection.
    asio::steady_timer changed; ///< Never expires; cancelled on each change of the members below.
    beast::flat_buffer buffer;
    std::deque<std::shared_ptr<Exchange>> exchanges; ///< In order of arrival.
    bool isReading = false; ///< A request has been received in part.
    bool isReadEnded = false; ///< The client has disconnected, or no further request is read.
    bool isLastResponseChosen = false; ///< No request behind that response may be handled.
};
using SessionPointer = std::shared_ptr<Session>;

std::optional<Response> responseOfReadError(const error_code &error)
{
    if (error == beast::http::error::header_limit) {
        return problemResponse(431, "header-too-large", "the header fields of the request are too large");
    }
    if (error == beast::http::error::body_limit) {
        return problemResponse(
            core::Refusal(core::RefusalReason::BodyTooLarge, core::Outcome::NotRun, "request body over the limit"));
    }
    const bool isConnectionError = error == beast::http::error::end_of_stream
                                   || error == beast::http::error::partial_message || error == beast::error::timeout
                                   || error.category() == asio::error::get_system_category()
                                   || error == asio::error::eof;
    if (isConnectionError) {
        return std::nullopt;
    }
    return problemResponse(
        core::Refusal(core::RefusalReason::BadRequest, core::Outcome::NotRun, "malformed request: " + error.message()));
}

/** @brief Waits until the condition holds; it is evaluated after each change of the session. */
template<typename Condition>
asio::awaitable<void> waitUntil(Session &session, Condition condition)
{
    while (!condition()) {
        error_code ignored;
        co_await session.changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto cancellation = co_await asio::this_coro::cancellation_state;
        if (cancellation.cancelled() != asio::cancellation_type::none) {
            throw boost::system::system_error(asio::error::operation_aborted);
        }
    }
}

void cancelAll(Session &session)
{
    // A cancelled handler may complete synchronously and change the list.
    const std::deque<std::shared_ptr<Exchange>> exchanges = session.exchanges;
    for (const std::shared_ptr<Exchange> &exchange : exchanges) {
        exchange->cancellation.emit(asio::cancellation_type::terminal);
    }
}

}

class Server::Implementation : public std::enable_shared_from_this<Server::Implementation>
{
public:
    Implementation(asio::any_io_executor executor, ServerOptionsSource options, Handler handler, RejectionHook rejected)
        : m_executor(std::move(executor))
        , m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_rejected(std::move(rejected))
        , m_acceptor(async::makeStrand(m_executor))
    {
    }

    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port)
    {
        try {
            const tcp::endpoint endpoint(asio::ip::make_address(address), port);
            m_acceptor.open(endpoint.protocol());
            m_acceptor.set_option(asio::socket_base::reuse_address(true));
            m_acceptor.bind(endpoint);
            m_acceptor.listen(asio::socket_base::max_listen_connections);
            const std::uint16_t boundPort = m_acceptor.local_endpoint().port();
            asio::co_spawn(m_acceptor.get_executor(), acceptLoop(shared_from_this()), asio::detached);
            return boundPort;
        } catch (const boost::system::system_error &error) {
            return tl::unexpected(
                Error(ErrorCode::InvalidAddress, false, address + ":" + std::to_string(port) + ": " + error.what()));
        }
    }

    void stopAccepting()
    {
        m_isStopping = true;
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            error_code ignored;
            self->m_acceptor.close(ignored);
        });
        forEachSession(
            [grace = m_options().stopGrace](const SessionPointer &session) { closeWhenIdle(session, grace); });
    }

    void closeAfterResponses()
    {
        m_isClosing = true;
    }

    void cancelRequests()
    {
        forEachSession([](const SessionPointer &session) { cancelAll(*session); });
    }

    void close()
    {
        stopAccepting();
        forEachSession([](const SessionPointer &session) {
            error_code ignored;
            session->stream.socket().close(ignored);
        });
    }

    asio::awaitable<void> waitUntilDrained()
    {
        constexpr auto PollInterval = std::chrono::milliseconds(5);
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (m_sessions.size() > 0) {
            timer.expires_after(PollInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

private:
    template<typename Action>
    void forEachSession(Action action)
    {
        m_sessions.forEach([&](std::uint64_t, const SessionPointer &session) {
            asio::post(session->stream.get_executor(), [session, action] { action(session); });
        });
    }

    static asio::awaitable<void> acceptLoop(std::shared_ptr<Implementation> self)
    {
        while (self->m_acceptor.is_open()) {
            error_code error;
            const asio::any_io_executor strand = async::makeStrand(self->m_executor);
            tcp::socket socket =
                co_await self->m_acceptor.async_accept(strand, asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
                co_return;
            }
            if (error) {
                co_await pauseAfterAcceptError();
                continue;
            }
            socket.set_option(tcp::no_delay(true), error);
            auto session = std::make_shared<Session>(std::move(socket));
            asio::co_spawn(strand, serve(self, std::move(session)), asio::detached);
        }
    }

    /** Without file descriptors, accept fails immediately; the pause avoids a busy loop. */
    static asio::awaitable<void> pauseAfterAcceptError()
    {
        constexpr auto Pause = std::chrono::milliseconds(20);
        asio::steady_timer timer(co_await asio::this_coro::executor, Pause);
        co_await timer.async_wait(asio::use_awaitable);
    }

    static asio::awaitable<void> serve(std::shared_ptr<Implementation> self, SessionPointer session)
    {
        const std::uint64_t number = self->m_nextSession.fetch_add(1);
        self->m_sessions.insertOrAssign(number, session);
        asio::co_spawn(session->stream.get_executor(), readRequests(self, session), asio::detached);
        try {
            co_await self->writeResponses(session);
        } catch (const std::exception &) {
            // The connection failed; no other connection is affected.
        }
        cancelAll(*session);
        co_await closeGracefully(session);
        self->m_sessions.erase(number);
    }

    /**
     * Closing a socket with unread bytes resets the connection, and the client may then lose the last response. The
     * client therefore gets time to close its side first.
     */
    static asio::awaitable<void> closeGracefully(SessionPointer session)
    {
        session->isLastResponseChosen = true;
        session->idleTimer.cancel();
        error_code ignored;
        session->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        if (!session->isReadEnded) {
            session->idleTimer.expires_after(CloseTimeout);
            session->idleTimer.async_wait([session](const error_code &error) {
                if (!error) {
                    session->stream.close();
                }
            });
            co_await waitUntil(*session, [&] { return session->isReadEnded; });
            session->idleTimer.cancel();
        }
        session->stream.close();
    }

    static void closeWhenIdle(const SessionPointer &session, core::Duration after)
    {
        if (session->isLastResponseChosen) {
            return;
        }
        session->idleTimer.expires_after(after);
        session->idleTimer.async_wait([weak = std::weak_ptr<Session>(session)](const error_code &error) {
            const SessionPointer idle = weak.lock();
            if (!error && idle && idle->isIdle()) {
                idle->stream.cancel();
            }
        });
    }

    /** Reads ahead while earlier requests are handled, so that a disconnect of the client is detected. */
    static asio::awaitable<void> readRequests(std::shared_ptr<Implementation> self, SessionPointer session)
    {
        try {
            bool isOpen = true;
            while (isOpen) {
                co_await waitUntil(*session, [&] { return session->exchanges.size() < MaxPipelinedRequests; });
                isOpen = co_await self->readOne(session);
            }
            co_await discardRest(*session);
        } catch (const std::exception &) {
            // The client has disconnected.
        }
        session->isReading = false;
        session->isReadEnded = true;
        cancelAll(*session);
        session->changed.cancel();
    }

    /** @return Whether a further request may follow on the connection. */
    asio::awaitable<bool> readOne(SessionPointer session)
    {
        Parser parser;
        const error_code error = co_await read(session, parser);
        if (session->isLastResponseChosen) {
            // The client takes the request as not read, and sends it again on another connection.
            co_return false;
        }
        auto exchange = std::make_shared<Exchange>();
        if (error) {
            const std::optional<Response> response = responseOfReadError(error);
            if (!response) {
                throw boost::system::system_error(error);
            }
            if (m_rejected) {
                m_rejected({(*response)->status, std::string(parser.get().target()), error.message()});
            }
            exchange->isDone = true;
            exchange->reply = *response;
            session->exchanges.push_back(exchange);
            session->isReading = false;
            session->changed.cancel();
            co_return false;
        }
        exchange->keepAlive = parser.get().keep_alive();
        session->exchanges.push_back(exchange);
        session->isReading = false;
        asio::co_spawn(session->stream.get_executor(),
                       answer(detail::fromBeast(parser.release()), exchange),
                       asio::bind_cancellation_slot(exchange->cancellation.slot(),
                                                    [session, exchange](const std::exception_ptr &) {
                                                        exchange->isDone = true;
                                                        session->changed.cancel();
                                                    }));
        co_return exchange->keepAlive;
    }

    /** Returns when the client has closed its side. */
    static asio::awaitable<void> discardRest(Session &session)
    {
        session.stream.expires_never();
        std::array<char, ReadSize> bytes{};
        error_code error;
        while (!error) {
            co_await session.stream.async_read_some(asio::buffer(bytes),
                                                    asio::redirect_error(asio::use_awaitable, error));
        }
    }

    asio::awaitable<error_code> read(SessionPointer session, Parser &parser)
    {
        error_code error;
        if (session->buffer.size() == 0) {
            // The idle timeout applies until the first byte, then the header and read timeouts.
            session->stream.expires_never();
            if (session->isIdle()) {
                closeWhenIdle(session, idleTime());
            }
            const std::size_t count = co_await session->stream.async_read_some(
                session->buffer.prepare(ReadSize), asio::redirect_error(asio::use_awaitable, error));
            session->buffer.commit(count);
            if (error) {
                co_return error == asio::error::eof ? error_code(beast::http::error::end_of_stream) : error;
            }
        }
        session->isReading = true;
        const ServerOptions options = m_options();
        parser.header_limit(options.headerLimitBytes);
        parser.body_limit(options.bodyLimitBytes);
        session->stream.expires_after(options.headerTimeout);
        co_await beast::http::async_read_header(
            session->stream, session->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return error;
        }
        session->stream.expires_after(options.readTimeout);
        co_await beast::http::async_read(
            session->stream, session->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        co_return error;
    }

    [[nodiscard]] core::Duration idleTime() const
    {
        const ServerOptions options = m_options();
        return m_isStopping ? options.stopGrace : options.idleTimeout;
    }

    asio::awaitable<void> answer(Request request, std::shared_ptr<Exchange> exchange)
    {
        const std::string target = request->target;
        try {
            exchange->reply = co_await m_handler(std::move(request));
        } catch (const boost::system::system_error &error) {
            if (error.code() == asio::error::operation_aborted) {
                throw;
            }
            exchange->reply = failed(target, error);
        } catch (const std::exception &error) {
            exchange->reply = failed(target, error);
        }
    }

    /** @return The response to a request whose handler has thrown. */
    Response failed(const std::string &target, const std::exception &error)
    {
        constexpr std::uint16_t InternalError = 500;
        if (m_rejected) {
            m_rejected({InternalError, target, error.what()});
        }
        return problemResponse(InternalError, "internal-error", error.what());
    }

    /** Writes the responses in request order until one closes the connection or the client disconnects. */
    asio::awaitable<void> writeResponses(SessionPointer session)
    {
        auto &exchanges = session->exchanges;
        bool isOpen = true;
        while (isOpen) {
            co_await waitUntil(*session,
                               [&] { return exchanges.empty() ? session->isReadEnded : exchanges.front()->isDone; });
            if (exchanges.empty() || !exchanges.front()->reply) {
                co_return;
            }
            isOpen = co_await writeFrontResponse(*session);
            exchanges.pop_front();
            session->changed.cancel();
            if (isOpen && session->isIdle()) {
                closeWhenIdle(session, idleTime());
            }
        }
    }

    /** @return Whether the connection stays open for further responses. */
    asio::awaitable<bool> writeFrontResponse(Session &session)
    {
        const Exchange &exchange = *session.exchanges.front();
        if (const auto *streamed = std::get_if<StreamedResponse>(&*exchange.reply)) {
            session.isLastResponseChosen = true;
            co_await writeStream(session, *streamed);
            co_return false;
        }
        // Requests that have already been read after this one are still answered.
        const bool isLast = session.exchanges.size() == 1;
        const bool keepAlive = exchange.keepAlive && !(isLast && (m_isStopping || m_isClosing));
        session.isLastResponseChosen = !keepAlive;
        co_await write(session, std::get<Response>(*exchange.reply), keepAlive);
        co_return keepAlive;
    }

    asio::awaitable<void> write(Session &session, const Response &response, bool keepAlive)
    {
        const std::string head = detail::serializeHead(response, keepAlive);
        session.stream.expires_after(m_options().readTimeout);
        const error_code error = co_await detail::writeAll(session.stream, head, detail::bodyOf(response));
        if (error) {
            throw boost::system::system_error(error);
        }
    }

    asio::awaitable<void> writeStream(Session &session, const StreamedResponse &streamed)
    {
        beast::http::response<beast::http::empty_body> head;
        head.result(beast::http::status::ok);
        head.set(beast::http::field::content_type, streamed.contentType);
        head.keep_alive(false);
        head.chunked(true);
        beast::http::response_serializer<beast::http::empty_body> serializer(head);
        co_await beast::http::async_write_header(session.stream, serializer, asio::use_awaitable);
        const ChunkWriter writer = [&session](std::string piece) { return writeChunk(session, std::move(piece)); };
        using asio::experimental::awaitable_operators::operator||;
        const auto outcome =
            co_await (streamed.write(writer) || waitUntil(session, [&] { return session.isReadEnded; }));
        if (outcome.index() == 0) {
            co_await asio::async_write(session.stream, beast::http::make_chunk_last(), asio::use_awaitable);
        }
    }

    static asio::awaitable<Result<void>> writeChunk(Session &session, std::string piece)
    {
        error_code error;
        const auto chunk = beast::http::make_chunk(asio::buffer(piece));
        co_await asio::async_write(session.stream, chunk, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return tl::unexpected(Error(ErrorCode::ConnectionLost, true, error.message()));
        }
        co_return Result<void>();
    }

    static constexpr std::size_t ReadSize = 4096;
    /** Requests of a connection that may be pending at the same time. */
    static constexpr std::size_t MaxPipelinedRequests = 16;
    /** Time that a client has to close its side after the last response. */
    static constexpr core::Duration CloseTimeout = std::chrono::seconds(1);

    asio::any_io_executor m_executor;
    ServerOptionsSource m_options;
    Handler m_handler;
    RejectionHook m_rejected; ///< May be empty.
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_isClosing{false};
    std::atomic<std::uint64_t> m_nextSession{1};
    core::ShardedMap<std::uint64_t, SessionPointer> m_sessions;
};

Server::Server(asio::any_io_executor executor, ServerOptions options, Handler handler)
    : Server(std::move(executor), std::move(handler), [options] { return options; })
{
}

Server::Server(asio::any_io_executor executor, Handler handler, ServerOptionsSource options, RejectionHook rejected)
    : m_implementation(std::make_shared<Implementation>(
        std::move(executor), std::move(options), std::move(handler), std::move(rejected)))
{
}

Server::~Server()
{
    m_implementation->close();
}

Result<std::uint16_t> Server::listen(const std::string &address, std::uint16_t port)
{
    return m_implementation->listen(address, port);
}

void Server::stopAccepting()
{
    m_implementation->stopAccepting();
}

void Server::closeAfterResponses()
{
    m_implementation->closeAfterResponses();
}

void Server::cancelRequests()
{
    m_implementation->cancelRequests();
}

asio::awaitable<void> Server::waitUntilDrained()
{
    return m_implementation->waitUntilDrained();
}

void Server::close()
{
    m_implementation->close();
}

}
