#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/wire/error.h"
#include "berylspring/wire/messages.h"
#include "berylspring/wire/peer_call.h"
#include "berylspring/wire/peer_options.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::wire {

/** @brief Returns the address on which a member accepts connections, if known. Called from any thread. */
using AddressLookup = std::function<std::optional<PeerAddress>(const core::HostId &)>;

/** @brief Counters of a PeerPool since its start. */
struct PeerPoolCounters
{
    std::uint64_t connectionsStarted = 0;
    std::uint64_t connectionsLost = 0; ///< Failed to open, or closed by an error or a timeout.
    std::uint64_t droppedAnswers = 0; ///< Answers that arrived late or match no pending request.
    std::size_t connections = 0; ///< Currently open or being opened.
    [[nodiscard]] bool operator==(const PeerPoolCounters &) const = default;
};

/**
 * @brief Sends requests to members over peer connections that are opened on demand. Thread-safe.
 *
 * The calling coroutine may run on any executor.
 */
class PeerPool
{
public:
    /**
     * @param executor Runs the connections; usually the executor of a multi-threaded io_context.
     * @param options Settings.
     * @param addressLookup Called for each new connection.
     */
    PeerPool(boost::asio::any_io_executor executor, PeerOptions options, AddressLookup addressLookup);
    /** @brief Calls close(). */
    ~PeerPool();
    PeerPool(const PeerPool &) = delete;
    PeerPool &operator=(const PeerPool &) = delete;

    /**
     * @brief Sends a request and waits for its answer.
     *
     * The timeout includes the time to open a connection. On cancellation of the awaiting coroutine and on timeout, a
     * CallCancel is sent if the request may have been sent.
     * @param to Receiver.
     * @param message Request.
     * @param timeout Time limit of the whole call.
     * @return The answer or an error. Error::maybeSent() is false only if no byte of the request was written to a
     * socket.
     */
    [[nodiscard]] boost::asio::awaitable<Result<Message>>
    call(core::HostId to, Message message, core::Duration timeout);

    /** @return A hook that forwards to call(). It may outlive the pool; its calls then fail with Unreachable. */
    [[nodiscard]] PeerCall asPeerCall();

    /**
     * @brief Closes the connections to earlier processes of a member.
     * @param host The member.
     * @param bootId Latest known boot id of the member, for example from a datagram.
     */
    void closeOutdatedConnections(const core::HostId &host, std::uint64_t bootId);

    /** @brief Closes all connections; pending and later calls fail. */
    void close();

    [[nodiscard]] PeerPoolCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
