#pragma once

#include "berylspring/core/time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace berylspring::tools {

/** @brief Directions in which a route silently drops all data, while connections stay open. */
enum class Cut : std::uint8_t {
    None,
    ToTarget, ///< Towards the target.
    FromTarget, ///< Back to the client.
    Both,
};

enum class Direction : std::uint8_t {
    ToTarget,
    FromTarget,
};

/** @brief Faults of a route. */
struct FaultState
{
    core::Duration delay{}; ///< Added in each direction.
    Cut cut = Cut::None;
    double loss = 0; ///< Probability of dropping a datagram, 0 to 1.
    [[nodiscard]] bool operator==(const FaultState &) const = default;
};

/** @brief Forwards TCP connections and UDP datagrams of one port to another port of 127.0.0.1. */
class FaultRoute : public std::enable_shared_from_this<FaultRoute>
{
public:
    FaultRoute(boost::asio::any_io_executor executor, std::uint16_t targetPort);

    /**
     * @brief Binds TCP and UDP to the same port and starts forwarding. Throws boost::system::system_error.
     * @param port Port to bind, 0 for any free one.
     * @return The bound port.
     */
    std::uint16_t listen(std::uint16_t port);

    void setFaults(const FaultState &state);
    [[nodiscard]] FaultState faults() const;
    /** @brief Forwards this many more bytes of TCP, counted over both directions, then cuts both. */
    void cutAfter(std::uint64_t bytes);
    /** @return Datagrams dropped so far, in both directions. */
    [[nodiscard]] std::uint64_t droppedDatagrams() const noexcept
    {
        return m_droppedDatagrams;
    }
    /** @brief Closes all connections of the route. */
    void closeConnections();

private:
    class Connection;
    class DatagramPeer;

    void bindTcp(std::uint16_t port);
    /** @return How many of the bytes may be forwarded now. */
    std::size_t admit(Direction direction, std::size_t bytes);
    [[nodiscard]] bool shouldDropDatagram(Direction direction);
    static boost::asio::awaitable<void> acceptLoop(std::shared_ptr<FaultRoute> self);
    static boost::asio::awaitable<void> datagramLoop(std::shared_ptr<FaultRoute> self);
    static boost::asio::awaitable<void> sendDelayed(std::shared_ptr<FaultRoute> self,
                                                    std::shared_ptr<boost::asio::ip::udp::socket> socket,
                                                    boost::asio::ip::udp::endpoint receiver,
                                                    std::vector<char> data);
    std::shared_ptr<DatagramPeer> findOrAddPeer(const boost::asio::ip::udp::endpoint &client);

    boost::asio::any_io_executor m_strand; ///< Runs the acceptor and all datagram sockets.
    boost::asio::any_io_executor m_executor;
    std::uint16_t m_targetPort;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<boost::asio::ip::udp::socket> m_datagrams;
    std::atomic<std::uint64_t> m_droppedDatagrams{0};
    mutable std::mutex m_mutex; ///< Guards the members below, except m_peers, which is used on m_strand.
    FaultState m_state;
    std::optional<std::uint64_t> m_bytesUntilCut;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::vector<std::shared_ptr<DatagramPeer>> m_peers;
};

}
