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
    std::uint64_t connectionsFailed = 0; ///< Ended by an error, for example a malformed frame or a wrong secret.
    std::size_t connections = 0; ///< Now open.
    std::size_t runningRequests = 0;
    [[nodiscard]] bool operator==(const PeerServerCounters &) const = default;
};

/**
 * @brief Accepts peer connections and runs a handler for each request. Safe to use from several threads.
 *
 * Each request runs as a coroutine of its own on a strand of its own. It is cancelled when the caller cancels the
 * call or the connection ends. Answers are sent when they are ready, in any order.
 */
class PeerServer
{
public:
    /**
     * @param executor Runs the connections and the handlers.
     * @param options Settings.
     * @param handler Answers requests; called from any thread. When it throws, the caller gets a Refused.
     */
    PeerServer(boost::asio::any_io_executor executor, PeerOptions options, PeerHandler handler);
    /** @brief As close(). */
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /**
     * @param address IP number to listen on.
     * @param port Port, or 0 for a free one.
     * @return The port; Unreachable when the address can't be used, or when the server listens already.
     */
    [[nodiscard]] Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /** @brief Stops accepting connections; open ones continue. */
    void stopAccepting();

    /** @brief Stops accepting, closes all connections and cancels the requests that run. */
    void close();

    [[nodiscard]] PeerServerCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
