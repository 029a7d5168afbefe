#pragma once

#include "berylspring/node/error.h"
#include "berylspring/node/protocols.h"
#include "berylspring/node/settings.h"

#include <cstdint>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::node {

/** @brief Bound ports of a node. */
struct NodePorts
{
    std::uint16_t caller = 0;
    std::uint16_t endpoint = 0;
    std::uint16_t operatorPort = 0;
    std::uint16_t peer = 0;
    [[nodiscard]] bool operator==(const NodePorts &) const = default;
};

/** @brief A node of the fleet: owns all services and connects them. */
class Node
{
public:
    Node(boost::asio::any_io_executor executor, Settings settings, Protocols protocols = nativeProtocols());
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** @return The bound ports, or StartFailed if a port cannot be bound. */
    [[nodiscard]] Result<NodePorts> start();
    /**
     * @brief Stops the node gracefully: drains its endpoint, completes running requests, hands over rate limit buckets
     * and idempotency claims, and leaves the membership.
     */
    [[nodiscard]] boost::asio::awaitable<void> stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
