#pragma once

#include "berylspring/wire/error.h"
#include "berylspring/wire/peer_call.h"
#include "berylspring/wire/peer_options.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace berylspring::wire {

/** @brief Counters of a PeerServer since its start. */
struct PeerServerCounters
{
    std::uint64_t connectionsAccepted = 0;
    std::uint64_t connectionsFailed = 0; ///< Closed by an error, for example a malformed frame or a wrong secret.
    std::size_t connections = 0; ///< Currently open.
    std::size_t runningRequests = 0;
    [[nodiscard]] bool operator==(const PeerServerCounters &) const = default;
};

/**
 * @brief Accepts peer connections and runs a handler for each request. Thread-safe.
 *
 * Each request runs as a separate coroutine on its own strand, and is cancelled when the caller cancels the call or the
 * connection is closed. Answers are sent as they become ready, in any order.
 */
class PeerServer
{
public:
    /**
     * @param executor Runs the connections and the handlers.
     * @param options Settings.
     * @param handler Handles requests; called from any thread. If it throws, the caller receives Refused.
     */
    PeerServer(boost::asio::any_io_executor executor, PeerOptions options, PeerHandler handler);
    /** @brief Calls close(). */
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /**
     * @param address IP address to listen on.
     * @param port Port, or 0 for any free port.
     * @return The bound port, or Unreachable if the address cannot be bound or the server already listens.
     */
    [[nodiscard]] Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /** @brief Stops accepting connections; open connections stay open. */
    void stopAccepting();

    /** @brief Stops accepting connections, closes all open ones and cancels the running requests. */
    void close();

    [[nodiscard]] PeerServerCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
