// Connection setup and handshake of PeerConnection.

// False positive of GCC 12: it inlines only one half of the frame allocator of Asio's coroutines.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

#include "wire/clock.h"
#include "wire/peer_connection.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <openssl/rand.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace berylspring::wire::detail {

namespace asio = boost::asio;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/** @brief Disables Nagle's algorithm and limits the time that sent data may stay unacknowledged. */
void setOptions(asio::ip::tcp::socket &socket, core::Duration userTimeout)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(userTimeout).count();
    const auto value = static_cast<unsigned int>(std::max<std::int64_t>(1, milliseconds));
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

}

void PeerConnection::connect(const Pointer &self, const PeerAddress &address, const core::HostId &expectedPeer)
{
    self->m_expectedPeer = expectedPeer;
    asio::co_spawn(self->m_socket.get_executor(), run(self, address), asio::detached);
}

void PeerConnection::accept(const Pointer &self)
{
    asio::co_spawn(self->m_socket.get_executor(), run(self, std::nullopt), asio::detached);
}

PeerConnection::Awaitable<void> PeerConnection::run(Pointer self, std::optional<PeerAddress> address)
{
    {
        const std::scoped_lock lock(self->m_mutex);
        if (self->m_stage != Stage::Closed) {
            self->armTimer();
        }
    }
    const Result<void> established = co_await self->establish(std::move(address));
    if (!established) {
        self->close(established.error());
        co_return;
    }
    const std::optional<Error> error = co_await self->readUntilClosed();
    self->close(error);
}

PeerConnection::Awaitable<Result<void>> PeerConnection::establish(std::optional<PeerAddress> address)
{
    if (address) {
        const Result<void> connected = co_await connectSocket(std::move(*address));
        if (!connected) {
            co_return connected;
        }
    }
    setOptions(m_socket, m_options->silenceTimeout);
    Result<Hello> peer = tl::unexpected(Error(ErrorCode::Unreachable, false));
    if (m_role == Role::Client) {
        peer = co_await handshakeAsClient();
    } else {
        peer = co_await handshakeAsServer();
    }
    if (!peer) {
        co_return tl::unexpected(peer.error());
    }
    m_reader.setMaxFrameBytes(m_options->maxFrameBytes);
    open(*peer);
    co_return Result<void>();
}

PeerConnection::Awaitable<Result<void>> PeerConnection::connectSocket(PeerAddress address)
{
    boost::system::error_code addressError;
    const auto ip = asio::ip::make_address(address.address, addressError);
    if (addressError) {
        co_return tl::unexpected(Error(ErrorCode::Unreachable, false, "address is not an IP number"));
    }
    const asio::ip::tcp::endpoint endpoint(ip, address.port);
    const auto [error] = co_await m_socket.async_connect(endpoint, AsTuple);
    if (error || isClosed()) {
        co_return tl::unexpected(Error(ErrorCode::Unreachable, false, error.message()));
    }
    m_isConnected = true;
    co_return Result<void>();
}

Hello PeerConnection::makeHello() const
{
    HelloFields fields{.protocol = ProtocolVersion,
                       .host = m_options->self,
                       .bootId = m_options->bootId,
                       .dataCentre = m_options->dataCentre,
                       .dictionary = m_compression.dictionaryId()};
    RAND_bytes(fields.nonce.data(), static_cast<int>(fields.nonce.size()));
    return Hello(std::move(fields));
}

PeerConnection::Awaitable<Result<Hello>> PeerConnection::handshakeAsClient()
{
    const Hello own = makeHello();
    std::vector<Envelope> first{Envelope{RequestKey{}, own}};
    const Result<void> sent = co_await writeAll(std::move(first));
    if (!sent) {
        co_return tl::unexpected(sent.error());
    }
    const Result<Envelope> helloFrame = co_await receive();
    if (!helloFrame) {
        co_return tl::unexpected(helloFrame.error());
    }
    const Result<Envelope> proofFrame = co_await receive();
    if (!proofFrame) {
        co_return tl::unexpected(proofFrame.error());
    }
    const auto *peer = std::get_if<Hello>(&helloFrame->payload);
    const auto *proof = std::get_if<HelloProof>(&proofFrame->payload);
    if (peer == nullptr || proof == nullptr) {
        co_return tl::unexpected(Error(ErrorCode::Malformed, false, "peer did not answer the handshake"));
    }
    Result<void> checked = checkHello(*peer);
    if (checked) {
        checked = checkProof(*proof, m_options->secret, Role::Server, own, *peer);
    }
    if (!checked) {
        co_return tl::unexpected(checked.error());
    }
    if ((*peer)->host != m_expectedPeer) {
        co_return tl::unexpected(Error(ErrorCode::Unreachable, false, "another host answers at the address"));
    }
    std::vector<Envelope> last{Envelope{RequestKey{}, proofOf(m_options->secret, Role::Client, own, *peer)}};
    const Result<void> proved = co_await writeAll(std::move(last));
    if (!proved) {
        co_return tl::unexpected(proved.error());
    }
    co_return *peer;
}

PeerConnection::Awaitable<Result<Hello>> PeerConnection::handshakeAsServer()
{
    const Result<Envelope> helloFrame = co_await receive();
    if (!helloFrame) {
        co_return tl::unexpected(helloFrame.error());
    }
    const auto *peer = std::get_if<Hello>(&helloFrame->payload);
    if (peer == nullptr) {
        co_return tl::unexpected(Error(ErrorCode::Malformed, false, "peer did not start with a hello"));
    }
    const Result<void> checked = checkHello(*peer);
    if (!checked) {
        co_return tl::unexpected(checked.error());
    }
    const Hello own = makeHello();
    std::vector<Envelope> answer{Envelope{RequestKey{}, own},
                                 Envelope{RequestKey{}, proofOf(m_options->secret, Role::Server, *peer, own)}};
    const Result<void> sent = co_await writeAll(std::move(answer));
    if (!sent) {
        co_return tl::unexpected(sent.error());
    }
    const Result<Envelope> proofFrame = co_await receive();
    if (!proofFrame) {
        co_return tl::unexpected(proofFrame.error());
    }
    const auto *proof = std::get_if<HelloProof>(&proofFrame->payload);
    if (proof == nullptr) {
        co_return tl::unexpected(Error(ErrorCode::Malformed, false, "peer sent no proof"));
    }
    const Result<void> proved = checkProof(*proof, m_options->secret, Role::Client, *peer, own);
    if (!proved) {
        co_return tl::unexpected(proved.error());
    }
    co_return *peer;
}

PeerConnection::Awaitable<Result<void>> PeerConnection::writeAll(std::vector<Envelope> envelopes)
{
    std::vector<EncodedFrame> frames;
    std::vector<asio::const_buffer> buffers;
    for (const Envelope &envelope : envelopes) {
        auto frame = encode(envelope, MaxHandshakeFrameBytes);
        if (!frame) {
            co_return tl::unexpected(frame.error());
        }
        frames.push_back(std::move(*frame));
        buffers.emplace_back(frames.back().bytes().data(), frames.back().size());
        countSent(TrafficClass::Handshake, frames.back().size());
    }
    const auto [error, byteCount] = co_await asio::async_write(m_socket, buffers, AsTuple);
    if (error) {
        co_return tl::unexpected(Error(ErrorCode::Unreachable, false, error.message()));
    }
    co_return Result<void>();
}

PeerConnection::Awaitable<Result<Envelope>> PeerConnection::receive()
{
    for (;;) {
        const auto frame = m_reader.next();
        if (!frame) {
            co_return tl::unexpected(frame.error());
        }
        if (*frame) {
            co_return decode(**frame);
        }
        const boost::system::error_code error = co_await readSome();
        if (error) {
            co_return tl::unexpected(Error(ErrorCode::Unreachable, false, error.message()));
        }
    }
}

void PeerConnection::open(const Hello &peer)
{
    auto writing = Writing::NotNeeded;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_stage == Stage::Closed) {
            return;
        }
        const auto now = currentTime();
        m_stage = Stage::Open;
        m_peer = peer;
        // Within a data centre, compression would cost more than the bandwidth it saves.
        m_isRemote = peer->dataCentre != m_options->dataCentre;
        m_isCompressing = peer->dictionary != 0 && peer->dictionary == m_compression.dictionaryId() && m_isRemote;
        m_lastUse = now;
        m_silence = m_silence.withReceipt(now);
        writing = claimWriting(now, m_pending.size());
    }
    m_isPeerKnown = true;
    for (std::size_t i = 0; i < TrafficClassCount; ++i) {
        countSent(static_cast<TrafficClass>(i), m_uncounted[i].exchange(0));
    }
    m_hooks.onOpen(shared_from_this());
    beginWriting(writing);
}

}
