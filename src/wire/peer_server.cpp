#include "berylspring/wire/peer_server.h"

#include "berylspring/async/strand.h"
#include "berylspring/core/sharded_map.h"
#include "wire/peer_connection.h"
#include "wire/running_requests.h"

#include <atomic>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::wire {

namespace asio = boost::asio;
using detail::PeerConnection;
using detail::RequestKey;
using detail::RunningRequest;
using detail::RunningRequests;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// Without a delay, accepting would fail in a busy loop while the process has no free file descriptor.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);

std::string describe(const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "unknown exception";
    }
}

Error listenError(const boost::system::error_code &error)
{
    return {ErrorCode::Unreachable, false, error.message()};
}

/** @brief One accepted connection. */
struct Session
{
    PeerConnection::Pointer connection;
    std::shared_ptr<RunningRequests> running;
};

}

struct PeerServer::State : std::enable_shared_from_this<PeerServer::State>
{
    using Acceptor = asio::ip::tcp::acceptor;

    State(asio::any_io_executor serverExecutor, PeerOptions serverOptions, PeerHandler serverHandler)
        : executor(std::move(serverExecutor))
        , options(std::make_shared<const PeerOptions>(std::move(serverOptions)))
        , handler(std::move(serverHandler))
        , acceptor(async::makeStrand(executor))
    {
    }

    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port)
    {
        if (isListening.exchange(true)) {
            return tl::unexpected(Error(ErrorCode::Unreachable, false, "server was told to listen before"));
        }
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(address, error);
        if (error) {
            isListening = false;
            return tl::unexpected(listenError(error));
        }
        const asio::ip::tcp::endpoint endpoint(ip, port);
        acceptor.open(endpoint.protocol(), error);
        if (!error) {
            acceptor.set_option(Acceptor::reuse_address(true), error);
        }
        if (!error) {
            acceptor.bind(endpoint, error);
        }
        if (!error) {
            acceptor.listen(Acceptor::max_listen_connections, error);
        }
        if (error) {
            boost::system::error_code ignored;
            acceptor.close(ignored);
            isListening = false;
            return tl::unexpected(listenError(error));
        }
        const std::uint16_t boundPort = acceptor.local_endpoint().port();
        asio::co_spawn(acceptor.get_executor(), acceptUntilStopped(shared_from_this()), asio::detached);
        return boundPort;
    }

    static asio::awaitable<void> acceptUntilStopped(std::shared_ptr<State> self)
    {
        asio::steady_timer retryTimer(self->acceptor.get_executor());
        while (self->acceptor.is_open()) {
            const asio::any_io_executor strand = async::makeStrand(self->executor);
            auto [error, socket] = co_await self->acceptor.async_accept(strand, AsTuple);
            if (!error) {
                self->addSession(std::move(socket));
            } else if (self->acceptor.is_open()) {
                retryTimer.expires_after(AcceptRetryDelay);
                co_await retryTimer.async_wait(AsTuple);
            }
        }
    }

    void addSession(asio::ip::tcp::socket socket)
    {
        if (isClosed || sessions.size() >= options->maxConnections) {
            return;
        }
        const std::uint64_t id = ++accepted;
        auto running = std::make_shared<RunningRequests>(options->maxRunningRequests);
        PeerConnection::Hooks hooks;
        hooks.onOpen = [](const PeerConnection::Pointer &) {};
        hooks.onRequest = [self = shared_from_this(), running](const PeerConnection::Pointer &connection,
                                                               const RequestKey &key,
                                                               Message message,
                                                               detail::Resume resume) {
            self->startRequest(connection, running, key, std::move(message), resume);
        };
        hooks.onCancel = [running](const PeerConnection::Pointer &, const RequestKey &key) {
            running->cancel(key.number);
        };
        hooks.onClosed = [self = shared_from_this(), running, id](const PeerConnection::Pointer &,
                                                                  const std::optional<Error> &error) {
            self->failed += error ? 1 : 0;
            self->sessions.erase(id);
            running->close();
        };
        const auto connection = std::make_shared<PeerConnection>(
            std::move(socket), options, compression, detail::Role::Server, 0, std::move(hooks));
        sessions.insertOrAssign(id, Session{connection, running});
        PeerConnection::accept(connection);
        if (isClosed) {
            connection->close(std::nullopt); // close() may have run before the session was inserted.
        }
    }

    void startRequest(const PeerConnection::Pointer &connection,
                      const std::shared_ptr<RunningRequests> &running,
                      const RequestKey &key,
                      Message message,
                      detail::Resume resume)
    {
        const auto request = std::make_shared<RunningRequest>(async::makeStrand(executor));
        switch (running->add(key.number, request)) {
        case RunningRequests::AddResult::Added:
            break;
        case RunningRequests::AddResult::TooMany:
            sendAnswer(connection, running->size(), key, Refused(RefusedFields{"too many requests on one connection"}));
            return;
        case RunningRequests::AddResult::Duplicate:
            connection->close(Error(ErrorCode::Malformed, false, "request number is in use"));
            return;
        case RunningRequests::AddResult::Closed:
            return;
        }
        auto start =
            [self = shared_from_this(), connection, running, key, request, message = std::move(message)]() mutable {
                self->run(connection, running, key, request, std::move(message));
            };
        if (resume == detail::Resume::Inline) {
            asio::dispatch(request->strand(), std::move(start));
        } else {
            asio::post(request->strand(), std::move(start));
        }
    }

    /** @brief Starts the handler; must be called on the strand of the request. */
    void run(const PeerConnection::Pointer &connection,
             const std::shared_ptr<RunningRequests> &running,
             const RequestKey &key,
             const std::shared_ptr<RunningRequest> &request,
             Message message)
    {
        if (request->isCancelled()) {
            running->remove(key.number);
            return;
        }
        auto finish = [self = shared_from_this(), connection, running, key, request](const std::exception_ptr &failure,
                                                                                     Message answer) {
            running->remove(key.number);
            if (request->finish()) {
                self->sendAnswer(connection,
                                 running->size(),
                                 key,
                                 failure ? Refused(RefusedFields{describe(failure)}) : std::move(answer));
            }
        };
        auto answering = answer(shared_from_this(), (*connection->peer())->host, std::move(message));
        asio::co_spawn(
            request->strand(), std::move(answering), asio::bind_cancellation_slot(request->slot(), std::move(finish)));
    }

    static asio::awaitable<Message> answer(std::shared_ptr<State> self, core::HostId from, Message message)
    {
        auto handling = self->handler(std::move(from), std::move(message));
        Message answer = co_await std::move(handling);
        co_return answer;
    }

    void sendAnswer(const PeerConnection::Pointer &connection,
                    std::size_t inFlight,
                    const RequestKey &key,
                    const Message &answer) const
    {
        auto frame = detail::encode(key, answer, options->maxFrameBytes);
        if (!frame) {
            const Message refused = Refused(RefusedFields{frame.error().detail()});
            frame = detail::encode(key, refused, options->maxFrameBytes);
        }
        if (frame) {
            connection->send(*frame, trafficClassOf(answer), inFlight);
        }
    }

    void stopAccepting()
    {
        asio::post(acceptor.get_executor(), [self = shared_from_this()] {
            boost::system::error_code ignored;
            self->acceptor.close(ignored);
        });
    }

    void close()
    {
        isClosed = true;
        stopAccepting();
        std::vector<PeerConnection::Pointer> connections;
        sessions.forEach([&](std::uint64_t, const Session &session) { connections.push_back(session.connection); });
        for (const auto &connection : connections) {
            connection->close(std::nullopt);
        }
    }

    asio::any_io_executor executor;
    std::shared_ptr<const PeerOptions> options;
    const detail::FrameCompression compression{options->dictionary};
    PeerHandler handler;
    Acceptor acceptor; ///< Used on its strand only after listen().
    core::ShardedMap<std::uint64_t, Session> sessions;
    std::atomic<bool> isListening{false};
    std::atomic<bool> isClosed{false};
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> failed{0};
};

PeerServer::PeerServer(asio::any_io_executor executor, PeerOptions options, PeerHandler handler)
    : m_state(std::make_shared<State>(std::move(executor), std::move(options), std::move(handler)))
{
}

PeerServer::~PeerServer()
{
    close();
}

Result<std::uint16_t> PeerServer::listen(const std::string &address, std::uint16_t port)
{
    return m_state->listen(address, port);
}

void PeerServer::stopAccepting()
{
    m_state->stopAccepting();
}

void PeerServer::close()
{
    m_state->close();
}

PeerServerCounters PeerServer::counters() const
{
    PeerServerCounters counters;
    counters.connectionsAccepted = m_state->accepted;
    counters.connectionsFailed = m_state->failed;
    m_state->sessions.forEach([&](std::uint64_t, const Session &session) {
        ++counters.connections;
        counters.runningRequests += session.running->size();
    });
    return counters;
}

}
