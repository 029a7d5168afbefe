#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/wire/error.h"
#include "berylspring/wire/peer_options.h"
#include "wire/envelope_codec.h"
#include "wire/frame_compression.h"
#include "wire/frame_queue.h"
#include "wire/frame_reader.h"
#include "wire/handshake.h"
#include "wire/pending_requests.h"
#include "wire/reply_waiter.h"
#include "wire/silence_monitor.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace berylspring::wire::detail {

/**
 * @brief One end of a peer connection.
 *
 * A mutex protects the queue, the pending requests and the timer. The executor of the socket is a strand, on which all
 * socket operations start except write_some(): the thread that queues a frame writes it immediately, unless another
 * thread is already writing and takes the frame into its next batch. close() only shuts a connected socket down and
 * the destructor closes it, so that a concurrent write never uses a closed descriptor.
 */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    using Pointer = std::shared_ptr<PeerConnection>;

    /** @brief Callbacks to the owner, called without a lock held. A client needs no onRequest and onCancel. */
    struct Hooks
    {
        std::function<void(const Pointer &)> onOpen;
        std::function<void(const Pointer &, const RequestKey &, Message, Resume)> onRequest;
        std::function<void(const Pointer &, const RequestKey &)> onCancel;
        /** Called exactly once; without an error if either side closed the connection in an orderly way. */
        std::function<void(const Pointer &, const std::optional<Error> &)> onClosed;
    };

    /**
     * @param socket Socket whose executor is a strand.
     * @param options Settings.
     * @param compression With the dictionary of the options.
     * @param role Role of this process.
     * @param epoch Epoch of the connection; used by a client only.
     * @param hooks Callbacks to the owner.
     */
    PeerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<const PeerOptions> options,
                   FrameCompression compression,
                   Role role,
                   std::uint64_t epoch,
                   Hooks hooks);

    /** @brief Opens the connection as a client. Requests made before it is open are queued. */
    static void connect(const Pointer &self, const PeerAddress &address, const core::HostId &expectedPeer);
    /** @brief Starts the handshake on an accepted socket. */
    static void accept(const Pointer &self);

    /**
     * @brief Sends a request and waits for its answer.
     * @return The answer or an error; after ConnectionLost without maybeSent() the request may be retried at once on
     * another connection.
     */
    [[nodiscard]] static boost::asio::awaitable<Result<Message>>
    request(Pointer self, const Message &message, core::TimePoint deadline);

    /**
     * @brief Queues an answer.
     * @param frame The answer.
     * @param trafficClass What the frame is counted as.
     * @param inFlight Number of running requests of this connection. Above a threshold, writes are coalesced.
     */
    void send(const EncodedFrame &frame, TrafficClass trafficClass, std::size_t inFlight);

    /** @brief Closes the connection. Pending requests fail. */
    void close(const std::optional<Error> &error);

    [[nodiscard]] bool isClosed() const noexcept
    {
        return m_isClosed.load(std::memory_order_acquire);
    }
    [[nodiscard]] std::size_t pendingCount() const;
    [[nodiscard]] std::uint64_t droppedAnswers() const;
    /** @return The peer's hello once the connection is open. */
    [[nodiscard]] std::optional<Hello> peer() const;

private:
    enum class Stage {
        Opening,
        Open,
        Closed,
    };
    enum class Writing {
        NotNeeded, ///< Nothing to write, or another thread is writing.
        Now,
        Posted, ///< Deferred, so that one write takes several frames.
    };
    template<typename Value>
    using Awaitable = boost::asio::awaitable<Value>;
    using Waiter = std::unique_ptr<ReplyWaiter>;
    struct StartRequest;

    static Awaitable<void> run(Pointer self, std::optional<PeerAddress> address);
    Awaitable<Result<void>> establish(std::optional<PeerAddress> address);
    Awaitable<Result<void>> connectSocket(PeerAddress address);
    Awaitable<Result<Hello>> handshakeAsClient();
    Awaitable<Result<Hello>> handshakeAsServer();
    Awaitable<Result<void>> writeAll(std::vector<Envelope> envelopes);
    Awaitable<Result<Envelope>> receive();
    Awaitable<boost::system::error_code> readSome();
    Awaitable<std::optional<Error>> readUntilClosed();

    void open(const Hello &peer);
    void start(std::uint64_t number, EncodedFrame frame, core::TimePoint deadline, Waiter waiter);
    /** @return The reason if the request cannot be queued; otherwise the waiter was moved from. */
    [[nodiscard]] std::optional<Error>
    enqueue(std::uint64_t number, EncodedFrame frame, core::TimePoint deadline, Waiter &waiter, Writing &writing);
    void cancel(std::uint64_t number);
    [[nodiscard]] Result<void> processFrames();
    [[nodiscard]] Result<void> process(Envelope envelope, Resume resume);
    [[nodiscard]] Result<void> processAsClient(Envelope &&envelope, Resume resume);
    [[nodiscard]] Result<void> processAsServer(Envelope &&envelope, Resume resume);

    void beginWriting(Writing writing);
    void write();
    void waitUntilWritable();
    void onTimer();
    void shutDownSocket();
    [[nodiscard]] Hello makeHello() const;
    /** @return The frame, compressed if compression is enabled for the peer. */
    [[nodiscard]] EncodedFrame compressIfEnabled(const EncodedFrame &frame) const;
    /** @brief Counts bytes that are sent; until the peer is known, they are kept back. */
    void countSent(TrafficClass trafficClass, std::size_t bytes);
    [[nodiscard]] Result<Envelope> decodeFrame(std::span<const std::uint8_t> frame) const;

    // Must be called with the mutex held.
    [[nodiscard]] Writing claimWriting(core::TimePoint now, std::size_t inFlight);
    [[nodiscard]] std::optional<Error> tick(core::TimePoint now);
    [[nodiscard]] bool isHeartbeatDue(core::TimePoint now) const;
    [[nodiscard]] bool isIdle(core::TimePoint now) const;
    void queueCancel(std::uint64_t number);
    void armTimer();

    const std::shared_ptr<const PeerOptions> m_options;
    const Role m_role;
    const std::uint64_t m_epoch;
    const Hooks m_hooks;
    const FrameCompression m_compression;
    core::HostId m_expectedPeer; ///< Set before the connection starts.
    std::atomic<std::uint64_t> m_lastNumber{0};
    std::atomic<bool> m_isClosed{false};
    std::atomic<bool> m_isRemote{false}; ///< The peer is in another data centre.
    std::atomic<bool> m_isPeerKnown{false}; ///< m_isRemote is valid.
    std::array<std::atomic<std::uint64_t>, TrafficClassCount> m_uncounted{}; ///< Sent before the peer was known.
    std::atomic<bool> m_isCompressing{false}; ///< The peer is in another data centre and has the same dictionary.

    // Used on the strand only, except for write_some().
    boost::asio::ip::tcp::socket m_socket;
    FrameReader m_reader;
    bool m_isConnected;

    mutable std::mutex m_mutex; ///< Protects the members below.
    Stage m_stage = Stage::Opening;
    FrameQueue m_queue;
    PendingRequests<Waiter> m_pending;
    SilenceMonitor m_silence;
    std::optional<Hello> m_peer;
    bool m_isWriting = false; ///< A thread is in write(), or a pending operation will call it.
    bool m_hasSent = false; ///< Whether anything was written since the last tick.
    bool m_hasReceived = false; ///< Whether anything was received since the last tick.
    core::TimePoint m_lastSentAt;
    core::TimePoint m_lastProgress; ///< Time of the last successful write.
    core::TimePoint m_lastUse; ///< Time of the last request or answer.
    core::TimePoint m_nextTick;
    std::optional<core::TimePoint> m_armedFor;
    boost::asio::steady_timer m_timer;
};

}
