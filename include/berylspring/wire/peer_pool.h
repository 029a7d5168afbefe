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

/** @brief Looks up where a member accepts connections; nothing when it is not known. Called from any thread. */
using AddressBook = std::function<std::optional<PeerAddress>(const core::HostId &)>;

/** @brief Counters of a PeerPool since its start. */
struct PeerPoolCounters
{
    std::uint64_t connectionsStarted = 0;
    std::uint64_t connectionsLost = 0; ///< Failed to open, or ended by an error or by silence.
    std::uint64_t droppedAnswers = 0; ///< Late or mismatched.
    std::size_t connections = 0; ///< Now open or being opened.
    [[nodiscard]] bool operator==(const PeerPoolCounters &) const = default;
};

/**
 * @brief Calls members over peer connections, which it opens on demand. Safe to use from several threads.
 *
 * The awaiting coroutine may run on any executor.
 */
class PeerPool
{
public:
    /**
     * @param executor Runs the connections; usually that of an io_context with several threads.
     * @param options Settings.
     * @param addressBook Asked each time when a connection is opened.
     */
    PeerPool(boost::asio::any_io_executor executor, PeerOptions options, AddressBook addressBook);
    /** @brief As close(). */
    ~PeerPool();
    PeerPool(const PeerPool &) = delete;
    PeerPool &operator=(const PeerPool &) = delete;

    /**
     * @brief Sends a message and waits for its answer.
     *
     * A connection attempt takes part of the timeout. Cancelling the awaiting coroutine, and a timeout, send a
     * CallCancel when the message may have been sent.
     * @param to Receiver.
     * @param message Request.
     * @param timeout Longest wait.
     * @return The answer or the error; Error::maybeSent() is false only if no byte of the message was handed to a
     * socket.
     */
    [[nodiscard]] boost::asio::awaitable<Result<Message>>
    call(core::HostId to, Message message, core::Duration timeout);

    /** @return A hook that calls call(); it may outlive the pool, and then answers with Unreachable. */
    [[nodiscard]] PeerCall asPeerCall();

    /**
     * @brief Closes the connections to a member that go to an earlier start of it.
     * @param host The member.
     * @param bootId Its newest known boot id, for example from a datagram.
     */
    void notePeerBoot(const core::HostId &host, std::uint64_t bootId);

    /** @brief Closes all connections; calls in progress and later calls fail. */
    void close();

    [[nodiscard]] PeerPoolCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
