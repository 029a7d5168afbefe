#include "berylspring/http/server.h"

#include "berylspring/core/sharded_map.h"
#include "berylspring/http/problem.h"
#include "http/beast_convert.h"

#include <atomic>
#include <optional>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
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

/** @brief State of one connection that other threads may reach. */
struct Session
{
    explicit Session(tcp::socket socket)
        : stream(std::move(socket))
        , idleTimer(stream.get_executor())
    {
    }
    beast::tcp_stream stream;
    asio::steady_timer idleTimer; ///< Closes an idle connection after the grace of a stop.
    beast::flat_buffer buffer;
    /** A request is being read or answered. Written and read on the connection's strand only. */
    bool isBusy = false;
};

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

/**
 * @brief Returns when the client has closed its side; bytes of a further request do not count.
 *
 * With several threads, a wait may end for bytes that were read meanwhile. The socket is non-blocking, because the
 * look at it would otherwise hold its thread and the strand of the connection until the client sends more.
 */
asio::awaitable<void> waitForDisconnect(Session &session)
{
    error_code error;
    tcp::socket &socket = session.stream.socket();
    socket.non_blocking(true, error);
    std::size_t count = 0;
    do {
        co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        char byte = 0;
        count = error ? 0 : socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    } while (error == asio::error::would_block);
    if (!error && count > 0) {
        asio::steady_timer never(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
        co_await never.async_wait(asio::use_awaitable);
    }
}

}

class Server::Implementation : public std::enable_shared_from_this<Server::Implementation>
{
public:
    Implementation(asio::any_io_executor executor, ServerOptions options, Handler handler)
        : m_executor(std::move(executor))
        , m_options(options)
        , m_handler(std::move(handler))
        , m_acceptor(asio::make_strand(m_executor))
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
        forEachSession([grace = m_options.stopGrace](const std::shared_ptr<Session> &session) {
            // A new expiry of the stream would not end the read that already waits.
            session->idleTimer.expires_after(grace);
            session->idleTimer.async_wait([weak = std::weak_ptr<Session>(session)](const error_code &error) {
                const std::shared_ptr<Session> idle = weak.lock();
                if (!error && idle && !idle->isBusy) {
                    idle->stream.cancel();
                }
            });
        });
    }

    void close()
    {
        stopAccepting();
        forEachSession([](const std::shared_ptr<Session> &session) {
            error_code ignored;
            session->stream.socket().close(ignored);
        });
    }

    asio::awaitable<void> idle()
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
        m_sessions.forEach([&](std::uint64_t, const std::shared_ptr<Session> &session) {
            asio::post(session->stream.get_executor(), [session, action] { action(session); });
        });
    }

    static asio::awaitable<void> acceptLoop(std::shared_ptr<Implementation> self)
    {
        while (self->m_acceptor.is_open()) {
            error_code error;
            auto strand = asio::make_strand(self->m_executor);
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

    /** Out of file descriptors: accepting again at once would fail at once. */
    static asio::awaitable<void> pauseAfterAcceptError()
    {
        constexpr auto Pause = std::chrono::milliseconds(20);
        asio::steady_timer timer(co_await asio::this_coro::executor, Pause);
        co_await timer.async_wait(asio::use_awaitable);
    }

    static asio::awaitable<void> serve(std::shared_ptr<Implementation> self, std::shared_ptr<Session> session)
    {
        const std::uint64_t number = self->m_nextSession.fetch_add(1);
        self->m_sessions.insertOrAssign(number, session);
        try {
            bool isOpen = true;
            while (isOpen) {
                isOpen = co_await self->serveOne(*session);
            }
        } catch (const std::exception &) {
            // The connection failed; it costs only itself.
        }
        error_code ignored;
        session->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        session->stream.close();
        self->m_sessions.erase(number);
    }

    /** @return Whether the connection stays open for a further request. */
    asio::awaitable<bool> serveOne(Session &session)
    {
        Parser parser;
        parser.header_limit(m_options.headerLimitBytes);
        parser.body_limit(m_options.bodyLimitBytes);
        const error_code error = co_await read(session, parser);
        if (error) {
            const std::optional<Response> response = responseOfReadError(error);
            if (response) {
                co_await write(session, *response, false);
            }
            co_return false;
        }
        const bool keepAlive = parser.get().keep_alive();
        Request request = detail::fromBeast(parser.release());
        // The answer goes into a variable, since operator|| flattens the variant of an awaitable<Reply>.
        std::optional<Reply> reply;
        using asio::experimental::awaitable_operators::operator||;
        co_await (answer(std::move(request), reply) || waitForDisconnect(session));
        if (!reply) {
            co_return false;
        }
        if (auto *streamed = std::get_if<StreamedResponse>(&*reply)) {
            co_await writeStream(session, *streamed);
            co_return false;
        }
        const bool staysOpen = keepAlive && !m_isStopping;
        co_await write(session, std::get<Response>(*reply), staysOpen);
        session.isBusy = false;
        co_return staysOpen;
    }

    asio::awaitable<error_code> read(Session &session, Parser &parser)
    {
        error_code error;
        session.stream.expires_after(m_isStopping ? m_options.stopGrace : m_options.idleTimeout);
        if (session.buffer.size() == 0) {
            // Waits for the first byte under the idle timeout, and for the rest under the read timeout.
            const std::size_t count = co_await session.stream.async_read_some(
                session.buffer.prepare(ReadSize), asio::redirect_error(asio::use_awaitable, error));
            session.buffer.commit(count);
            if (error) {
                co_return error == asio::error::eof ? error_code(beast::http::error::end_of_stream) : error;
            }
        }
        session.isBusy = true;
        session.stream.expires_after(m_options.readTimeout);
        co_await beast::http::async_read(
            session.stream, session.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        session.stream.expires_never();
        co_return error;
    }

    asio::awaitable<void> answer(Request request, std::optional<Reply> &reply)
    {
        try {
            reply = co_await m_handler(std::move(request));
        } catch (const boost::system::system_error &error) {
            if (error.code() == asio::error::operation_aborted) {
                throw;
            }
            reply = problemResponse(500, "internal-error", error.what());
        } catch (const std::exception &error) {
            reply = problemResponse(500, "internal-error", error.what());
        }
    }

    asio::awaitable<void> write(Session &session, const Response &response, bool keepAlive)
    {
        const detail::BeastResponse message = detail::toBeast(response, keepAlive);
        session.stream.expires_after(m_options.readTimeout);
        co_await beast::http::async_write(session.stream, message, asio::use_awaitable);
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
        const auto outcome = co_await (streamed.write(writer) || waitForDisconnect(session));
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

    asio::any_io_executor m_executor;
    ServerOptions m_options;
    Handler m_handler;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::uint64_t> m_nextSession{1};
    core::ShardedMap<std::uint64_t, std::shared_ptr<Session>> m_sessions;
};

Server::Server(asio::any_io_executor executor, ServerOptions options, Handler handler)
    : m_implementation(std::make_shared<Implementation>(std::move(executor), options, std::move(handler)))
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

asio::awaitable<void> Server::idle()
{
    return m_implementation->idle();
}

void Server::close()
{
    m_implementation->close();
}

}
