#include "wire/peer_connection.h"

#include "wire/clock.h"

#include <utility>
#include <variant>

#include <boost/asio/associated_cancellation_slot.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::wire::detail {

namespace asio = boost::asio;

namespace {

tl::unexpected<Error> malformed(const char *detail)
{
    return tl::unexpected(Error(ErrorCode::Malformed, false, detail));
}

}

/** @brief Initiation function of the asynchronous operation of request(). */
struct PeerConnection::StartRequest
{
    Pointer connection;
    std::uint64_t number = 0;
    EncodedFrame frame;
    core::TimePoint deadline;

    template<typename Handler>
    void operator()(Handler &&handler)
    {
        auto slot = asio::get_associated_cancellation_slot(handler);
        if (slot.is_connected()) {
            slot.assign(
                [weak = std::weak_ptr<PeerConnection>(connection), requestNumber = number](asio::cancellation_type) {
                    if (const auto target = weak.lock()) {
                        target->cancel(requestNumber);
                    }
                });
        }
        using Waiting = HandlerWaiter<std::decay_t<Handler>>;
        connection->start(
            number, std::move(frame), deadline, std::make_unique<Waiting>(std::forward<Handler>(handler)));
    }
};

PeerConnection::PeerConnection(asio::ip::tcp::socket socket,
                               std::shared_ptr<const PeerOptions> options,
                               FrameCompression compression,
                               Role role,
                               std::uint64_t epoch,
                               Hooks hooks)
    : m_options(std::move(options))
    , m_role(role)
    , m_epoch(epoch)
    , m_hooks(std::move(hooks))
    , m_compression(std::move(compression))
    , m_socket(std::move(socket))
    , m_reader(MaxHandshakeFrameBytes)
    , m_isConnected(role == Role::Server)
    , m_queue(m_options->maxQueuedBytes)
    , m_pending(epoch)
    , m_silence(m_options->heartbeatInterval, m_options->silenceTimeout, m_options->idleSilenceTimeout, currentTime())
    , m_lastSentAt(currentTime())
    , m_lastProgress(currentTime())
    , m_lastUse(currentTime())
    , m_nextTick(currentTime() + m_options->heartbeatInterval)
    , m_timer(m_socket.get_executor())
{
}

asio::awaitable<Result<Message>> PeerConnection::request(Pointer self, const Message &message, core::TimePoint deadline)
{
    const std::uint64_t number = ++self->m_lastNumber;
    const RequestKey key{self->m_epoch, number};
    auto frame = encode(key, message, self->m_options->maxFrameBytes);
    if (!frame) {
        co_return tl::unexpected(frame.error());
    }
    EncodedFrame outgoing = self->compressIfEnabled(*frame);
    self->countSent(trafficClassOf(message), outgoing.size());
    StartRequest start{self, number, std::move(outgoing), deadline};
    auto waiting = asio::async_initiate<const asio::use_awaitable_t<>, void(Result<Message>)>(std::move(start),
                                                                                              asio::use_awaitable);
    Result<Message> reply = co_await std::move(waiting);
    co_return reply;
}

void PeerConnection::start(std::uint64_t number, EncodedFrame frame, core::TimePoint deadline, Waiter waiter)
{
    auto writing = Writing::NotNeeded;
    const auto error = enqueue(number, std::move(frame), deadline, waiter, writing);
    if (error) {
        waiter->complete(tl::unexpected(*error), Resume::Posted);
    }
    beginWriting(writing);
}

std::optional<Error> PeerConnection::enqueue(
    std::uint64_t number, EncodedFrame frame, core::TimePoint deadline, Waiter &waiter, Writing &writing)
{
    const std::scoped_lock lock(m_mutex);
    const auto now = currentTime();
    if (m_stage == Stage::Closed) {
        return Error(ErrorCode::ConnectionLost, false, "connection is closed");
    }
    if (deadline <= now) {
        return Error(ErrorCode::Timeout, false, "no time is left");
    }
    if (!m_queue.push(number, std::move(frame))) {
        return Error(ErrorCode::Unreachable, false, "too much is waiting to be sent");
    }
    m_pending.add(number, deadline, std::move(waiter));
    m_lastUse = now;
    armTimer();
    writing = claimWriting(now, m_pending.size());
    return std::nullopt;
}

void PeerConnection::cancel(std::uint64_t number)
{
    std::optional<Waiter> waiter;
    bool isUnsent = false;
    auto writing = Writing::NotNeeded;
    {
        const std::scoped_lock lock(m_mutex);
        waiter = m_pending.remove(number);
        if (!waiter) {
            return;
        }
        isUnsent = m_queue.withdraw(number);
        if (!isUnsent) {
            queueCancel(number);
            writing = claimWriting(currentTime(), m_pending.size());
        }
    }
    (*waiter)->complete(tl::unexpected(Error(ErrorCode::Cancelled, !isUnsent, "call was cancelled")), Resume::Posted);
    beginWriting(writing);
}

void PeerConnection::send(const EncodedFrame &frame, TrafficClass trafficClass, std::size_t inFlight)
{
    bool isFull = false;
    auto writing = Writing::NotNeeded;
    const EncodedFrame outgoing = compressIfEnabled(frame);
    countSent(trafficClass, outgoing.size());
    {
        const std::scoped_lock lock(m_mutex);
        if (m_stage == Stage::Closed) {
            return;
        }
        const auto now = currentTime();
        m_lastUse = now;
        isFull = !m_queue.push(0, outgoing);
        writing = claimWriting(now, inFlight);
    }
    if (isFull) {
        close(Error(ErrorCode::ConnectionLost, true, "peer does not read its answers"));
    }
    beginWriting(writing);
}

void PeerConnection::close(const std::optional<Error> &error)
{
    std::vector<PendingRequests<Waiter>::Entry> waiters;
    std::set<std::uint64_t> unsent;
    bool wasOpen = false;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_stage == Stage::Closed) {
            return;
        }
        wasOpen = m_stage == Stage::Open;
        m_stage = Stage::Closed;
        m_isClosed.store(true, std::memory_order_release);
        waiters = m_pending.removeAll();
        unsent = m_queue.waitingRequests();
        m_queue.discardWaiting();
        m_armedFor.reset();
        m_timer.cancel();
    }
    const Error cause = error.value_or(Error(ErrorCode::ConnectionLost, true, "connection was closed"));
    // Before the connection is open, callers need the cause of the failure; afterwards all see ConnectionLost.
    const ErrorCode code = wasOpen ? ErrorCode::ConnectionLost : cause.code();
    for (auto &[number, waiter] : waiters) {
        const bool maybeSent = !unsent.contains(number);
        waiter->complete(tl::unexpected(Error(code, maybeSent, cause.detail())), Resume::Posted);
    }
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->shutDownSocket(); });
    m_hooks.onClosed(shared_from_this(), error);
}

void PeerConnection::shutDownSocket()
{
    boost::system::error_code ignored;
    if (m_isConnected) {
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    } else {
        m_socket.close(ignored); // Aborts the connection attempt. No write() can run before the connection is open.
    }
}

std::size_t PeerConnection::pendingCount() const
{
    const std::scoped_lock lock(m_mutex);
    return m_pending.size();
}

std::uint64_t PeerConnection::droppedAnswers() const
{
    const std::scoped_lock lock(m_mutex);
    return m_pending.droppedAnswers();
}

std::optional<Hello> PeerConnection::peer() const
{
    const std::scoped_lock lock(m_mutex);
    return m_peer;
}

EncodedFrame PeerConnection::compressIfEnabled(const EncodedFrame &frame) const
{
    return m_isCompressing ? m_compression.compressed(frame) : frame;
}

void PeerConnection::countSent(TrafficClass trafficClass, std::size_t bytes)
{
    if (!m_options->traffic) {
        return;
    }
    if (m_isPeerKnown) {
        m_options->traffic->record(trafficClass, m_isRemote, bytes);
    } else {
        m_uncounted[static_cast<std::size_t>(trafficClass)] += bytes;
    }
}

Result<Envelope> PeerConnection::decodeFrame(std::span<const std::uint8_t> frame) const
{
    if (!FrameCompression::isCompressed(frame)) {
        return decode(frame);
    }
    const auto inner = m_compression.decompressed(frame);
    return inner ? decode(*inner) : tl::unexpected(inner.error());
}

Result<void> PeerConnection::processFrames()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_silence = m_silence.withReceipt(currentTime());
        m_hasReceived = true;
    }
    for (;;) {
        const auto frame = m_reader.next();
        if (!frame) {
            return tl::unexpected(frame.error());
        }
        if (!*frame) {
            return {};
        }
        auto envelope = decodeFrame(**frame);
        if (!envelope) {
            return tl::unexpected(envelope.error());
        }
        // Further buffered frames are distributed over the threads; a single one is handled without a context switch.
        auto processed = process(std::move(*envelope), m_reader.hasFrame() ? Resume::Posted : Resume::Inline);
        if (!processed) {
            return processed;
        }
    }
}

Result<void> PeerConnection::process(Envelope envelope, Resume resume)
{
    if (std::holds_alternative<Heartbeat>(envelope.payload)) {
        return {};
    }
    return m_role == Role::Client ? processAsClient(std::move(envelope), resume)
                                  : processAsServer(std::move(envelope), resume);
}

Result<void> PeerConnection::processAsClient(Envelope &&envelope, Resume resume)
{
    auto *message = std::get_if<Message>(&envelope.payload);
    if (message == nullptr) {
        return malformed("frame is not an answer");
    }
    std::optional<Waiter> waiter;
    {
        const std::scoped_lock lock(m_mutex);
        waiter = m_pending.match(envelope.key);
        m_lastUse = currentTime();
    }
    if (waiter) {
        (*waiter)->complete(std::move(*message), resume);
    }
    return {};
}

Result<void> PeerConnection::processAsServer(Envelope &&envelope, Resume resume)
{
    if (auto *message = std::get_if<Message>(&envelope.payload)) {
        m_hooks.onRequest(shared_from_this(), envelope.key, std::move(*message), resume);
        return {};
    }
    if (std::holds_alternative<CallCancel>(envelope.payload)) {
        m_hooks.onCancel(shared_from_this(), envelope.key);
        return {};
    }
    return malformed("frame is not a request");
}

}
