// Reads, writes and timer of PeerConnection.

// False positive of GCC 12: it inlines only one half of the frame allocator of Asio's coroutines.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

#include "wire/clock.h"
#include "wire/peer_connection.h"

#include <algorithm>
#include <span>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::wire::detail {

namespace asio = boost::asio;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

// Above this number of requests in flight, one write per frame costs more time than waiting for further frames.
constexpr std::size_t MaxInFlightWithoutCoalescing = 4;

Error connectionLost(const boost::system::error_code &error)
{
    return {ErrorCode::ConnectionLost, true, error.message()};
}

}

void PeerConnection::write()
{
    for (;;) {
        std::vector<asio::const_buffer> buffers;
        {
            const std::scoped_lock lock(m_mutex);
            const auto batch =
                m_stage == Stage::Closed ? std::vector<std::span<const std::uint8_t>>() : m_queue.takeBatch();
            if (batch.empty()) {
                m_isWriting = false;
                return;
            }
            std::transform(batch.begin(), batch.end(), std::back_inserter(buffers), [](const auto &bytes) {
                return asio::const_buffer(bytes.data(), bytes.size());
            });
        }
        boost::system::error_code error;
        const std::size_t byteCount = m_socket.write_some(buffers, error);
        {
            const std::scoped_lock lock(m_mutex);
            m_queue.finishBatch(byteCount);
            if (byteCount > 0) {
                m_hasSent = true;
                m_lastProgress = currentTime();
                m_lastSentAt = m_lastProgress;
                // A server reacts to each frame of a client, but not the other way round, so that both fall idle.
                m_silence = m_role == Role::Client ? m_silence.withFrameOwed(m_lastProgress) : m_silence;
            }
        }
        if (error == asio::error::would_block || error == asio::error::try_again) {
            waitUntilWritable();
            return;
        }
        if (error) {
            close(connectionLost(error));
        }
    }
}

void PeerConnection::waitUntilWritable()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_socket.async_wait(asio::ip::tcp::socket::wait_write, [self](const boost::system::error_code &error) {
            if (error) {
                self->close(connectionLost(error));
            }
            self->write();
        });
    });
}

PeerConnection::Writing PeerConnection::claimWriting(core::TimePoint now, std::size_t inFlight)
{
    if (m_stage != Stage::Open || m_isWriting || m_queue.isEmpty()) {
        return Writing::NotNeeded;
    }
    m_isWriting = true;
    m_lastProgress = now;
    return inFlight > MaxInFlightWithoutCoalescing ? Writing::Posted : Writing::Now;
}

void PeerConnection::beginWriting(Writing writing)
{
    if (writing == Writing::Now) {
        write();
    } else if (writing == Writing::Posted) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->write(); });
    }
}

void PeerConnection::queueCancel(std::uint64_t number)
{
    const auto frame = encode(Envelope{RequestKey{m_epoch, number}, CallCancel{}}, m_options->maxFrameBytes);
    // If the queue is full, the peer completes an unwanted request, which is harmless.
    if (frame && m_queue.push(0, *frame)) {
        countSent(TrafficClass::Call, frame->size());
    }
}

void PeerConnection::armTimer()
{
    const auto deadline = m_pending.nextDeadline();
    const auto wake = deadline ? std::min(*deadline, m_nextTick) : m_nextTick;
    if (m_armedFor && *m_armedFor <= wake) {
        return;
    }
    m_armedFor = wake;
    m_timer.expires_at(wake);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->onTimer();
        }
    });
}

void PeerConnection::onTimer()
{
    const auto now = currentTime();
    std::vector<std::pair<Waiter, bool>> expired;
    std::optional<Error> failure;
    bool isIdleNow = false;
    auto writing = Writing::NotNeeded;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_stage == Stage::Closed) {
            return;
        }
        m_armedFor.reset();
        for (auto &[number, waiter] : m_pending.removeExpired(now)) {
            const bool maybeSent = !m_queue.withdraw(number);
            if (maybeSent) {
                queueCancel(number);
            }
            expired.emplace_back(std::move(waiter), maybeSent);
        }
        if (now >= m_nextTick) {
            failure = tick(now);
            isIdleNow = isIdle(now);
            m_nextTick = now + m_options->heartbeatInterval;
        }
        writing = claimWriting(now, m_pending.size());
        armTimer();
    }
    for (auto &[waiter, maybeSent] : expired) {
        waiter->complete(tl::unexpected(Error(ErrorCode::Timeout, maybeSent, "no answer in time")), Resume::Posted);
    }
    beginWriting(writing);
    if (failure || isIdleNow) {
        close(failure);
    }
}

std::optional<Error> PeerConnection::tick(core::TimePoint now)
{
    m_silence = m_silence.ticked(now);
    if (m_silence.isSilent(now)) {
        const auto code = m_stage == Stage::Open ? ErrorCode::ConnectionLost : ErrorCode::Unreachable;
        return Error(code, true, "peer is silent");
    }
    if (m_isWriting && now - m_lastProgress >= m_options->silenceTimeout) {
        return Error(ErrorCode::ConnectionLost, true, "peer does not read");
    }
    if (m_stage == Stage::Open && isHeartbeatDue(now)) {
        const auto frame = encode(Envelope{RequestKey{}, Heartbeat{}}, m_options->maxFrameBytes);
        if (frame && m_queue.push(0, *frame)) {
            countSent(TrafficClass::KeepAlive, frame->size());
        }
    }
    m_hasSent = false;
    m_hasReceived = false;
    return std::nullopt;
}

bool PeerConnection::isHeartbeatDue(core::TimePoint now) const
{
    const bool isInUse = m_role == Role::Client ? m_pending.size() > 0 : m_hasReceived;
    return (isInUse && !m_hasSent) || now - m_lastSentAt >= m_options->idleHeartbeatInterval;
}

bool PeerConnection::isIdle(core::TimePoint now) const
{
    const core::Duration timeout = m_isRemote ? m_options->remoteIdleTimeout : m_options->idleTimeout;
    return m_role == Role::Client && m_pending.size() == 0
           && now - m_lastUse >= std::min(timeout, m_options->idleTimeout);
}

PeerConnection::Awaitable<boost::system::error_code> PeerConnection::readSome()
{
    const auto room = m_reader.prepare();
    const asio::mutable_buffer buffer(room.data(), room.size());
    const auto [error, byteCount] = co_await m_socket.async_read_some(buffer, AsTuple);
    m_reader.commit(byteCount);
    co_return error;
}

PeerConnection::Awaitable<std::optional<Error>> PeerConnection::readUntilClosed()
{
    for (;;) {
        // The first iteration handles requests that arrived together with the last frame of the handshake.
        const Result<void> processed = processFrames();
        if (!processed) {
            co_return processed.error();
        }
        const boost::system::error_code error = co_await readSome();
        if (error == asio::error::eof && m_role == Role::Server) {
            co_return std::nullopt; // Orderly: clients close idle connections.
        }
        if (error) {
            co_return connectionLost(error);
        }
    }
}

}
