#include "berylspring/wire/peer_pool.h"

#include "berylspring/async/strand.h"
#include "wire/peer_connection.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace berylspring::wire {

namespace asio = boost::asio;
using detail::PeerConnection;

namespace {

constexpr std::size_t ShardCount = 16;
// A further connection to a peer is opened only if all its connections have at least this many pending calls.
constexpr std::size_t BusyConnectionCalls = 16;
// A connection may be closed between its selection and the send; the call is then retried on another connection.
constexpr int MaxAttempts = 2;

/** @return Whether the request was certainly not sent and only the connection failed, so that a retry is safe. */
bool mayUseAnotherConnection(const Error &error)
{
    return error.code() == ErrorCode::ConnectionLost && !error.maybeSent();
}

}

struct PeerPool::State : std::enable_shared_from_this<PeerPool::State>
{
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<core::HostId, std::vector<PeerConnection::Pointer>> connections;
    };

    State(asio::any_io_executor poolExecutor, PeerOptions poolOptions, AddressLookup lookup)
        : executor(std::move(poolExecutor))
        , options(std::make_shared<const PeerOptions>(std::move(poolOptions)))
        , addressLookup(std::move(lookup))
    {
    }

    static asio::awaitable<Result<Message>>
    call(std::shared_ptr<State> self, core::HostId to, Message message, core::Duration timeout)
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        for (int attempt = 1;; ++attempt) {
            const Result<PeerConnection::Pointer> connection = self->connectionTo(to);
            if (!connection) {
                co_return tl::unexpected(connection.error());
            }
            auto exchange = PeerConnection::request(*connection, message, deadline);
            Result<Message> reply = co_await std::move(exchange);
            if (reply || attempt == MaxAttempts || !mayUseAnotherConnection(reply.error())) {
                co_return reply;
            }
        }
    }

    Shard &shardOf(const core::HostId &host)
    {
        return shards[std::hash<core::HostId>{}(host) % ShardCount];
    }

    /** @return The connection with the fewest pending calls; null if a new one should be opened. */
    PeerConnection::Pointer chooseConnection(const std::vector<PeerConnection::Pointer> &connections) const
    {
        if (connections.size() == 1 && options->connectionsPerPeer <= 1) {
            return connections.front()->isClosed() ? nullptr : connections.front();
        }
        PeerConnection::Pointer best;
        std::size_t bestCount = 0;
        std::size_t openCount = 0;
        for (const auto &connection : connections) {
            if (connection->isClosed()) {
                continue;
            }
            ++openCount;
            const std::size_t count = connection->pendingCount();
            if (!best || count < bestCount) {
                best = connection;
                bestCount = count;
            }
        }
        return openCount < options->connectionsPerPeer && bestCount >= BusyConnectionCalls ? nullptr : best;
    }

    Result<PeerConnection::Pointer> connectionTo(const core::HostId &to)
    {
        Shard &shard = shardOf(to);
        {
            const std::scoped_lock lock(shard.mutex);
            const auto found = shard.connections.find(to);
            if (auto connection = found == shard.connections.end() ? nullptr : chooseConnection(found->second)) {
                return connection;
            }
        }
        const auto address = addressLookup(to);
        if (!address) {
            return tl::unexpected(Error(ErrorCode::Unreachable, false, "peer is not known"));
        }
        const auto connection = makeConnection(to);
        {
            const std::scoped_lock lock(shard.mutex);
            if (isClosed) {
                return tl::unexpected(Error(ErrorCode::Unreachable, false, "pool is closed"));
            }
            auto &connections = shard.connections[to];
            if (auto other = chooseConnection(connections)) {
                return other; // Another thread opened one meanwhile; the new connection was never started.
            }
            connections.push_back(connection);
        }
        ++started;
        PeerConnection::connect(connection, *address, to);
        return connection;
    }

    PeerConnection::Pointer makeConnection(const core::HostId &to)
    {
        PeerConnection::Hooks hooks;
        hooks.onOpen = [self = shared_from_this(), to](const PeerConnection::Pointer &connection) {
            self->closeOutdatedConnections(to, (*connection->peer())->bootId);
        };
        hooks.onClosed = [self = shared_from_this(), to](const PeerConnection::Pointer &connection,
                                                         const std::optional<Error> &error) {
            self->forget(to, connection, error.has_value());
        };
        asio::ip::tcp::socket socket(async::makeStrand(executor));
        return std::make_shared<PeerConnection>(
            std::move(socket), options, compression, detail::Role::Client, ++lastEpoch, std::move(hooks));
    }

    void forget(const core::HostId &to, const PeerConnection::Pointer &connection, bool isLost)
    {
        lost += isLost ? 1 : 0;
        droppedAnswers += connection->droppedAnswers();
        Shard &shard = shardOf(to);
        const std::scoped_lock lock(shard.mutex);
        const auto found = shard.connections.find(to);
        if (found != shard.connections.end()) {
            std::erase(found->second, connection);
            if (found->second.empty()) {
                shard.connections.erase(found);
            }
        }
    }

    void closeOutdatedConnections(const core::HostId &host, std::uint64_t bootId)
    {
        std::vector<PeerConnection::Pointer> candidates;
        {
            Shard &shard = shardOf(host);
            const std::scoped_lock lock(shard.mutex);
            const auto found = shard.connections.find(host);
            if (found != shard.connections.end()) {
                candidates = found->second;
            }
        }
        for (const auto &connection : candidates) {
            const auto peer = connection->peer();
            if (peer && (*peer)->bootId < bootId) {
                connection->close(Error(ErrorCode::ConnectionLost, true, "peer has started again"));
            }
        }
    }

    void close()
    {
        isClosed = true;
        std::vector<PeerConnection::Pointer> connections;
        for (Shard &shard : shards) {
            const std::scoped_lock lock(shard.mutex);
            for (const auto &[host, ofHost] : shard.connections) {
                connections.insert(connections.end(), ofHost.begin(), ofHost.end());
            }
        }
        for (const auto &connection : connections) {
            connection->close(std::nullopt);
        }
    }

    asio::any_io_executor executor;
    std::shared_ptr<const PeerOptions> options;
    const detail::FrameCompression compression{options->dictionary};
    AddressLookup addressLookup;
    std::array<Shard, ShardCount> shards;
    std::atomic<bool> isClosed{false};
    std::atomic<std::uint64_t> lastEpoch{0};
    std::atomic<std::uint64_t> started{0};
    std::atomic<std::uint64_t> lost{0};
    std::atomic<std::uint64_t> droppedAnswers{0};
};

PeerPool::PeerPool(asio::any_io_executor executor, PeerOptions options, AddressLookup addressLookup)
    : m_state(std::make_shared<State>(std::move(executor), std::move(options), std::move(addressLookup)))
{
}

PeerPool::~PeerPool()
{
    close();
}

asio::awaitable<Result<Message>> PeerPool::call(core::HostId to, Message message, core::Duration timeout)
{
    return State::call(m_state, std::move(to), std::move(message), timeout);
}

PeerCall PeerPool::asPeerCall()
{
    return [state = m_state](core::HostId to, Message message, core::Duration timeout) {
        return State::call(state, std::move(to), std::move(message), timeout);
    };
}

void PeerPool::closeOutdatedConnections(const core::HostId &host, std::uint64_t bootId)
{
    m_state->closeOutdatedConnections(host, bootId);
}

void PeerPool::close()
{
    m_state->close();
}

PeerPoolCounters PeerPool::counters() const
{
    PeerPoolCounters counters;
    counters.connectionsStarted = m_state->started;
    counters.connectionsLost = m_state->lost;
    counters.droppedAnswers = m_state->droppedAnswers;
    for (const auto &shard : m_state->shards) {
        const std::scoped_lock lock(shard.mutex);
        for (const auto &[host, connections] : shard.connections) {
            counters.connections += connections.size();
            for (const auto &connection : connections) {
                counters.droppedAnswers += connection->droppedAnswers();
            }
        }
    }
    return counters;
}

}
