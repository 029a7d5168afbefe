#include "tools/common/fault_route.h"

#include <algorithm>
#include <array>
#include <deque>
#include <random>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace berylspring::tools {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t BufferSize = 64UL * 1024;
/** Reading stops at this many queued bytes, so that the sender sees backpressure as on a congested link. */
constexpr std::size_t MaxQueuedBytes = 4UL * 1024 * 1024;
constexpr std::size_t MaxDatagramPeers = 1024;

bool isCut(Cut cut, Direction direction)
{
    return cut == Cut::Both || (cut == Cut::ToTarget && direction == Direction::ToTarget)
           || (cut == Cut::FromTarget && direction == Direction::FromTarget);
}

}

/** @brief A client connection and its connection to the target. Everything runs on a strand of their own. */
class FaultRoute::Connection : public std::enable_shared_from_this<FaultRoute::Connection>
{
public:
    Connection(std::shared_ptr<FaultRoute> route, tcp::socket client)
        : m_route(std::move(route))
        , m_client(std::move(client))
        , m_target(m_client.get_executor())
        , m_toTarget(m_client.get_executor())
        , m_fromTarget(m_client.get_executor())
    {
    }

    static asio::awaitable<void> run(std::shared_ptr<Connection> self)
    {
        const tcp::endpoint target(asio::ip::address_v4::loopback(), self->m_route->m_targetPort);
        error_code error;
        co_await self->m_target.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            self->close();
            co_return;
        }
        self->m_client.set_option(tcp::no_delay(true), error);
        self->m_target.set_option(tcp::no_delay(true), error);
        const asio::any_io_executor strand = self->m_client.get_executor();
        for (const Direction direction : {Direction::ToTarget, Direction::FromTarget}) {
            asio::co_spawn(strand, read(self, direction), asio::detached);
            asio::co_spawn(strand, write(self, direction), asio::detached);
        }
    }

    void postClose()
    {
        asio::post(m_client.get_executor(), [self = shared_from_this()] { self->close(); });
    }

private:
    /** @brief Queue of the data of one direction, each chunk with the time at which it is to be sent. */
    struct DelayQueue
    {
        explicit DelayQueue(const asio::any_io_executor &executor)
            : changed(executor, asio::steady_timer::time_point::max())
        {
        }
        struct Chunk
        {
            core::TimePoint due;
            std::vector<char> data; ///< Empty: the sender has shut down its side.
        };
        std::deque<Chunk> chunks;
        std::size_t queuedBytes = 0;
        asio::steady_timer changed; ///< Cancelled when the reader adds or the writer takes a chunk.
    };

    static asio::awaitable<void> read(std::shared_ptr<Connection> self, Direction direction)
    {
        DelayQueue &queue = direction == Direction::ToTarget ? self->m_toTarget : self->m_fromTarget;
        tcp::socket &source = direction == Direction::ToTarget ? self->m_client : self->m_target;
        std::vector<char> buffer(BufferSize);
        error_code error;
        while (!error) {
            const std::size_t count =
                co_await source.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            const std::size_t admitted = self->m_route->admit(direction, count);
            if (error && error != asio::error::eof) {
                self->close();
                co_return;
            }
            // The end of the stream is forwarded like data, so a cut direction drops it too.
            const bool isEndVisible = error == asio::error::eof && !isCut(self->m_route->faults().cut, direction);
            if (admitted > 0 || isEndVisible) {
                const auto end = buffer.begin() + static_cast<std::ptrdiff_t>(admitted);
                queue.chunks.push_back({std::chrono::steady_clock::now() + self->m_route->faults().delay,
                                        std::vector<char>(buffer.begin(), end)});
                queue.queuedBytes += admitted;
                queue.changed.cancel();
            }
            while (queue.queuedBytes > MaxQueuedBytes && self->m_client.is_open()) {
                co_await waitForChange(queue);
            }
        }
    }

    static asio::awaitable<void> write(std::shared_ptr<Connection> self, Direction direction)
    {
        DelayQueue &queue = direction == Direction::ToTarget ? self->m_toTarget : self->m_fromTarget;
        tcp::socket &sink = direction == Direction::ToTarget ? self->m_target : self->m_client;
        asio::steady_timer timer(co_await asio::this_coro::executor);
        error_code error;
        while (!error && self->m_client.is_open()) {
            if (queue.chunks.empty()) {
                co_await waitForChange(queue);
                continue;
            }
            const DelayQueue::Chunk chunk = std::move(queue.chunks.front());
            queue.chunks.pop_front();
            timer.expires_at(chunk.due);
            co_await timer.async_wait(asio::use_awaitable);
            if (chunk.data.empty()) {
                sink.shutdown(tcp::socket::shutdown_send, error);
                co_return;
            }
            co_await asio::async_write(
                sink, asio::buffer(chunk.data), asio::redirect_error(asio::use_awaitable, error));
            queue.queuedBytes -= chunk.data.size();
            queue.changed.cancel();
        }
        self->close();
    }

    static asio::awaitable<void> waitForChange(DelayQueue &queue)
    {
        error_code ignored;
        co_await queue.changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    void close()
    {
        error_code ignored;
        m_client.close(ignored);
        m_target.close(ignored);
        m_toTarget.changed.cancel();
        m_fromTarget.changed.cancel();
    }

    std::shared_ptr<FaultRoute> m_route;
    tcp::socket m_client;
    tcp::socket m_target;
    DelayQueue m_toTarget;
    DelayQueue m_fromTarget;
};

/** @brief Socket towards the target for one client address, so that replies can be returned to that client. */
class FaultRoute::DatagramPeer
{
public:
    DatagramPeer(const asio::any_io_executor &strand, udp::endpoint client)
        : m_client(std::move(client))
        , m_socket(std::make_shared<udp::socket>(strand, udp::endpoint(asio::ip::address_v4::loopback(), 0)))
    {
    }

    /** @brief Forwards replies of the target to the client until the socket is closed. */
    static asio::awaitable<void> replyLoop(std::shared_ptr<FaultRoute> route, std::shared_ptr<DatagramPeer> self)
    {
        std::vector<char> buffer(BufferSize);
        udp::endpoint sender;
        error_code error;
        while (error != asio::error::operation_aborted && error != asio::error::bad_descriptor) {
            const std::size_t count = co_await self->m_socket->async_receive_from(
                asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
            if (!error && !route->shouldDropDatagram(Direction::FromTarget)) {
                std::vector<char> data(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(count));
                auto sending = sendDelayed(route, route->m_datagrams, self->m_client, std::move(data));
                asio::co_spawn(route->m_strand, std::move(sending), asio::detached);
            }
        }
    }

    [[nodiscard]] const udp::endpoint &client() const noexcept
    {
        return m_client;
    }
    [[nodiscard]] const std::shared_ptr<udp::socket> &socket() const noexcept
    {
        return m_socket;
    }

private:
    udp::endpoint m_client;
    std::shared_ptr<udp::socket> m_socket;
};

FaultRoute::FaultRoute(asio::any_io_executor executor, std::uint16_t targetPort)
    : m_strand(asio::make_strand(executor))
    , m_executor(std::move(executor))
    , m_targetPort(targetPort)
    , m_acceptor(m_strand)
    , m_datagrams(std::make_shared<udp::socket>(m_strand))
{
}

std::uint16_t FaultRoute::listen(std::uint16_t port)
{
    // A port that is free for TCP may be in use for UDP.
    constexpr int MaxAttempts = 20;
    error_code error;
    for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
        bindTcp(port);
        const std::uint16_t bound = m_acceptor.local_endpoint().port();
        const udp::endpoint datagramEndpoint(asio::ip::address_v4::loopback(), bound);
        m_datagrams->open(datagramEndpoint.protocol());
        m_datagrams->bind(datagramEndpoint, error);
        if (!error) {
            asio::co_spawn(m_strand, acceptLoop(shared_from_this()), asio::detached);
            asio::co_spawn(m_strand, datagramLoop(shared_from_this()), asio::detached);
            return bound;
        }
        m_acceptor.close();
        m_datagrams->close();
    }
    throw boost::system::system_error(error);
}

void FaultRoute::bindTcp(std::uint16_t port)
{
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
}

void FaultRoute::setFaults(const FaultState &state)
{
    const std::scoped_lock lock(m_mutex);
    m_state = state;
    m_bytesUntilCut.reset();
}

FaultState FaultRoute::faults() const
{
    const std::scoped_lock lock(m_mutex);
    return m_state;
}

void FaultRoute::cutAfter(std::uint64_t bytes)
{
    const std::scoped_lock lock(m_mutex);
    m_bytesUntilCut = bytes;
}

void FaultRoute::closeConnections()
{
    const std::scoped_lock lock(m_mutex);
    for (const std::weak_ptr<Connection> &connection : m_connections) {
        if (const auto live = connection.lock()) {
            live->postClose();
        }
    }
    m_connections.clear();
}

std::size_t FaultRoute::admit(Direction direction, std::size_t bytes)
{
    const std::scoped_lock lock(m_mutex);
    if (isCut(m_state.cut, direction)) {
        return 0;
    }
    if (!m_bytesUntilCut) {
        return bytes;
    }
    const std::size_t admitted = std::min<std::uint64_t>(bytes, *m_bytesUntilCut);
    *m_bytesUntilCut -= admitted;
    if (*m_bytesUntilCut == 0) {
        m_state.cut = Cut::Both;
        m_bytesUntilCut.reset();
    }
    return admitted;
}

bool FaultRoute::shouldDropDatagram(Direction direction)
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    const FaultState state = faults();
    const bool isDropped = isCut(state.cut, direction) || std::bernoulli_distribution(state.loss)(generator);
    m_droppedDatagrams += isDropped ? 1 : 0;
    return isDropped;
}

asio::awaitable<void> FaultRoute::acceptLoop(std::shared_ptr<FaultRoute> self)
{
    constexpr auto PauseAfterError = std::chrono::milliseconds(20);
    while (self->m_acceptor.is_open()) {
        error_code error;
        const auto strand = asio::make_strand(self->m_executor);
        tcp::socket socket =
            co_await self->m_acceptor.async_accept(strand, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            asio::steady_timer timer(self->m_strand, PauseAfterError);
            co_await timer.async_wait(asio::use_awaitable);
            continue;
        }
        auto connection = std::make_shared<Connection>(self, std::move(socket));
        {
            const std::scoped_lock lock(self->m_mutex);
            std::erase_if(self->m_connections, [](const auto &other) { return other.expired(); });
            self->m_connections.push_back(connection);
        }
        asio::co_spawn(strand, Connection::run(connection), asio::detached);
    }
}

asio::awaitable<void> FaultRoute::datagramLoop(std::shared_ptr<FaultRoute> self)
{
    const udp::endpoint target(asio::ip::address_v4::loopback(), self->m_targetPort);
    std::vector<char> buffer(BufferSize);
    udp::endpoint sender;
    while (self->m_datagrams->is_open()) {
        error_code error;
        const std::size_t count = co_await self->m_datagrams->async_receive_from(
            asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error || self->shouldDropDatagram(Direction::ToTarget)) {
            continue;
        }
        const auto peer = self->findOrAddPeer(sender);
        std::vector<char> data(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(count));
        auto sending = sendDelayed(self, peer->socket(), target, std::move(data));
        asio::co_spawn(self->m_strand, std::move(sending), asio::detached);
    }
}

asio::awaitable<void> FaultRoute::sendDelayed(std::shared_ptr<FaultRoute> self,
                                              std::shared_ptr<udp::socket> socket,
                                              udp::endpoint receiver,
                                              std::vector<char> data)
{
    const core::Duration delay = self->faults().delay;
    if (delay > core::Duration::zero()) {
        asio::steady_timer timer(co_await asio::this_coro::executor, delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    error_code ignored;
    co_await socket->async_send_to(asio::buffer(data), receiver, asio::redirect_error(asio::use_awaitable, ignored));
}

std::shared_ptr<FaultRoute::DatagramPeer> FaultRoute::findOrAddPeer(const udp::endpoint &client)
{
    const auto found =
        std::find_if(m_peers.begin(), m_peers.end(), [&](const auto &peer) { return peer->client() == client; });
    if (found != m_peers.end()) {
        return *found;
    }
    if (m_peers.size() >= MaxDatagramPeers) {
        m_peers.front()->socket()->close();
        m_peers.erase(m_peers.begin());
    }
    auto peer = std::make_shared<DatagramPeer>(m_strand, client);
    m_peers.push_back(peer);
    asio::co_spawn(m_strand, DatagramPeer::replyLoop(shared_from_this(), peer), asio::detached);
    return peer;
}

}
