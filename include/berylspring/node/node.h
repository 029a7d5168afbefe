#pragma once

#include "berylspring/node/error.h"
#include "berylspring/node/protocols.h"
#include "berylspring/node/settings.h"

#include <cstdint>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::node {

/** @brief Ports that a node has bound. */
struct NodePorts
{
    std::uint16_t caller = 0;
    std::uint16_t endpoint = 0;
    std::uint16_t operatorPort = 0;
    std::uint16_t peer = 0;
    [[nodiscard]] bool operator==(const NodePorts &) const = default;
};

/** @brief One node: all services, put together. */
class Node
{
public:
    Node(boost::asio::any_io_executor executor, Settings settings, Protocols protocols = ownProtocols());
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** @return The bound ports, or why the node cannot start. */
    [[nodiscard]] Result<NodePorts> start();
    /** @brief Planned stop: announces it, finishes what runs, hands over buckets and claims, leaves. */
    [[nodiscard]] boost::asio::awaitable<void> stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
