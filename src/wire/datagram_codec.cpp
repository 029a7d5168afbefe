#include "berylspring/wire/datagram_codec.h"

#include "berylspring/core/digest.h"
#include "berylspring/core/sharded_map.h"
#include "wire/datagram_format.h"
#include "wire/replay_window.h"

#include <atomic>
#include <limits>
#include <optional>
#include <utility>

#include <openssl/crypto.h>

namespace berylspring::wire {

namespace {

// RFC 2104 allows truncation to half of the hash, 128 bits for SHA-256; a short tag suits small datagrams.
constexpr std::size_t TagByteCount = 16;
// Bounds the memory for departed senders; above it the sender whose last accepted datagram is oldest is evicted.
constexpr std::size_t MaxSenders = 32'768;

std::string_view truncatedTag(const core::Digest &digest)
{
    return {reinterpret_cast<const char *>(digest.bytes().data()), TagByteCount};
}

bool matchesTag(const core::Digest &expected, std::string_view tag)
{
    return tag.size() == TagByteCount && CRYPTO_memcmp(expected.bytes().data(), tag.data(), TagByteCount) == 0;
}

/** @brief Replay protection state of one sender. */
struct SenderState
{
    detail::ReplayWindow window;
    std::uint64_t lastAccepted = 0; ///< Value of the counter of accepted datagrams at the last datagram of this sender.
};

}

struct DatagramCodec::State
{
    std::string secret;
    core::HostId self;
    std::uint64_t bootId = 0;
    std::atomic<std::uint64_t> sequence{0};
    std::atomic<std::uint64_t> accepted{0};
    core::ShardedMap<core::HostId, SenderState> senders;

    bool accept(const OpenedDatagram &datagram)
    {
        const std::uint64_t now = ++accepted;
        bool isNewSender = false;
        const bool isAccepted = senders.update(datagram.sender, [&](std::optional<SenderState> &sender) {
            isNewSender = !sender;
            const auto current = sender ? sender->window : detail::ReplayWindow(datagram.bootId);
            const auto next = current.accept(datagram.bootId, datagram.sequence);
            if (next) {
                sender.emplace(SenderState{*next, now});
            }
            return next.has_value();
        });
        if (isNewSender && senders.size() > MaxSenders) {
            evictOldestSender();
        }
        return isAccepted;
    }

    void evictOldestSender()
    {
        core::HostId oldest;
        std::uint64_t oldestAccepted = std::numeric_limits<std::uint64_t>::max();
        senders.forEach([&](const core::HostId &host, const SenderState &sender) {
            if (sender.lastAccepted < oldestAccepted) {
                oldestAccepted = sender.lastAccepted;
                oldest = host;
            }
        });
        senders.erase(oldest);
    }
};

DatagramCodec::DatagramCodec(std::string secret, core::HostId self, std::uint64_t bootId)
    : m_state(std::make_unique<State>())
{
    m_state->secret = std::move(secret);
    m_state->self = std::move(self);
    m_state->bootId = bootId;
}

DatagramCodec::~DatagramCodec() = default;

Result<std::string> DatagramCodec::seal(const Datagram &datagram)
{
    const OpenedDatagram opened{m_state->self, m_state->bootId, ++m_state->sequence, datagram};
    std::string bytes = detail::encodeDatagram(opened);
    if (bytes.size() + TagByteCount > MaxDatagramBytes) {
        return tl::unexpected(Error(ErrorCode::TooLarge, false, "datagram is too large"));
    }
    bytes += truncatedTag(core::hmacSha256(m_state->secret, bytes));
    return bytes;
}

Result<OpenedDatagram> DatagramCodec::open(std::string_view bytes)
{
    if (bytes.size() > MaxDatagramBytes) {
        return tl::unexpected(Error(ErrorCode::TooLarge, false, "datagram is too large"));
    }
    if (bytes.size() <= TagByteCount) {
        return tl::unexpected(Error(ErrorCode::Malformed, false, "datagram is too short"));
    }
    const auto content = bytes.substr(0, bytes.size() - TagByteCount);
    const auto expected = core::hmacSha256(m_state->secret, content);
    if (!matchesTag(expected, bytes.substr(content.size()))) {
        return tl::unexpected(Error(ErrorCode::NotAuthenticated, false, "datagram has an invalid HMAC"));
    }
    auto opened = detail::decodeDatagram(content);
    if (!opened) {
        return opened;
    }
    if (opened->sender == m_state->self) {
        return tl::unexpected(
            Error(ErrorCode::NotAuthenticated, false, "datagram has the id of this host as its sender"));
    }
    if (!m_state->accept(*opened)) {
        return tl::unexpected(
            Error(ErrorCode::NotAuthenticated, false, "datagram is a replay or has an outdated boot id"));
    }
    return opened;
}

}
