#include "config/withdrawals.h"

#include <mutex>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::config::detail {

namespace asio = boost::asio;

namespace {

/** Limits the calls in flight per announcement; an unresponsive peer blocks only one of them. */
constexpr std::size_t MaxConcurrentSends = 64;
/** Time after which a confirmed append that is not yet visible in the log is repeated. */
constexpr core::Duration ReappendDelay = std::chrono::seconds(10);
constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
using SubmitResult = std::optional<Result<WriteOutcome>>;
using SubmitChannel = asio::experimental::concurrent_channel<void(boost::system::error_code, SubmitResult)>;

/** A failure ends only this coroutine; the next iteration of the background loop retries its work. */
constexpr auto Detached = [](const std::exception_ptr &) {};

}

struct Withdrawals::Announcement
{
    Announcement(wire::Tombstone what, std::vector<core::HostId> to)
        : tombstone(std::move(what))
        , peers(std::move(to))
    {
    }

    std::optional<core::HostId> takePeer()
    {
        const std::scoped_lock lock(mutex);
        if (peers.empty()) {
            return std::nullopt;
        }
        core::HostId peer = std::move(peers.back());
        peers.pop_back();
        return peer;
    }

    const wire::Tombstone tombstone;
    std::mutex mutex;
    std::vector<core::HostId> peers;
};

LogRecord recordOf(const wire::Tombstone &tombstone)
{
    return LogRecord({tombstone->operationId,
                      RecordKind::Delete,
                      ResourceType::Key,
                      tombstone->key.value(),
                      std::nullopt,
                      "{\"digest\":\"" + tombstone->digest.toHex() + "\"}"});
}

asio::awaitable<Result<WriteOutcome>>
Withdrawals::withdraw(std::shared_ptr<Withdrawals> self, core::KeyId key, core::Digest digest)
{
    const ContextPtr context = self->m_context;
    const wire::Tombstone tombstone({std::move(key), digest, context->newOperationId()});
    self->add(tombstone, true);
    announceToAll(self, tombstone);

    const auto channel = std::make_shared<SubmitChannel>(context->executor(), 2);
    asio::co_spawn(context->executor(),
                   Writer::submit(self->m_writer, recordOf(tombstone)),
                   [channel](const std::exception_ptr &failure, Result<WriteOutcome> outcome) {
                       channel->try_send(boost::system::error_code(),
                                         failure ? SubmitResult() : SubmitResult(std::move(outcome)));
                   });
    asio::steady_timer limit(context->executor(), context->settings().withdrawalWait);
    limit.async_wait([channel](const boost::system::error_code &) {
        channel->try_send(boost::system::error_code(), SubmitResult());
    });
    const auto [ec, submitted] = co_await channel->async_receive(UseTuple);
    limit.cancel();
    if (!ec && submitted && submitted->has_value()) {
        const std::uint32_t peerCount = self->acknowledgementCount(digest);
        co_return WriteOutcome{WriteState::Recorded, (*submitted)->change, peerCount};
    }
    const std::uint32_t peerCount = self->acknowledgementCount(digest);
    if (peerCount > 0) {
        co_return WriteOutcome{WriteState::Announced, std::nullopt, peerCount};
    }
    co_return tl::unexpected(Error::unavailable("the withdrawal is in force on this node only so far", true));
}

void Withdrawals::add(const wire::Tombstone &tombstone, bool isOwn)
{
    const core::TimePoint now = m_context->now();
    m_pending.update(tombstone->digest, [&](std::optional<PendingWithdrawal> &value) {
        if (!value) {
            value = PendingWithdrawal({tombstone, isOwn, now, std::nullopt, {}});
        } else if (isOwn) {
            value = value->with(&PendingWithdrawalFields::isOwn, true);
        }
    });
}

void Withdrawals::accept(const core::HostId &from, const wire::Tombstone &tombstone)
{
    if (m_context->store().catalogue()->isWithdrawn(tombstone->digest)) {
        return;
    }
    add(tombstone, false);
    m_pending.update(tombstone->digest, [&](std::optional<PendingWithdrawal> &value) {
        auto acknowledgedBy = (*value)->acknowledgedBy;
        acknowledgedBy.insert(from);
        value = value->with(&PendingWithdrawalFields::acknowledgedBy, std::move(acknowledgedBy));
    });
}

std::vector<PendingWithdrawal> Withdrawals::pending() const
{
    std::vector<PendingWithdrawal> result;
    m_pending.forEach([&](const core::Digest &, const PendingWithdrawal &withdrawal) { result.push_back(withdrawal); });
    return result;
}

std::uint32_t Withdrawals::acknowledgementCount(const core::Digest &digest) const
{
    const auto withdrawal = m_pending.find(digest);
    return withdrawal ? static_cast<std::uint32_t>((*withdrawal)->acknowledgedBy.size()) : 0;
}

void Withdrawals::sendPending(const std::shared_ptr<Withdrawals> &self, const core::HostId &peer)
{
    for (const PendingWithdrawal &withdrawal : self->pending()) {
        if (!withdrawal->acknowledgedBy.contains(peer)) {
            announce(self, withdrawal->tombstone, {peer});
        }
    }
}

std::shared_ptr<Withdrawals::Announcement> Withdrawals::announce(const std::shared_ptr<Withdrawals> &self,
                                                                 const wire::Tombstone &tombstone,
                                                                 std::vector<core::HostId> peers)
{
    const std::size_t coroutines = std::min(peers.size(), MaxConcurrentSends);
    auto announcement = std::make_shared<Announcement>(tombstone, std::move(peers));
    for (std::size_t i = 0; i < coroutines; ++i) {
        asio::co_spawn(self->m_context->executor(), sendToAll(self, announcement), Detached);
    }
    return announcement;
}

void Withdrawals::announceToAll(const std::shared_ptr<Withdrawals> &self, const wire::Tombstone &tombstone)
{
    const auto running = self->m_announcements.find(tombstone->digest);
    if (!running || running->expired()) {
        const auto announcement = announce(self, tombstone, self->unacknowledgedPeers(tombstone->digest));
        self->m_announcements.insertOrAssign(tombstone->digest, announcement);
    }
}

asio::awaitable<void> Withdrawals::sendToAll(std::shared_ptr<Withdrawals> self,
                                             std::shared_ptr<Announcement> announcement)
{
    while (auto peer = announcement->takePeer()) {
        co_await sendTo(self, announcement->tombstone, *peer);
    }
}

asio::awaitable<void>
Withdrawals::sendTo(std::shared_ptr<Withdrawals> self, wire::Tombstone tombstone, core::HostId peer)
{
    const ContextPtr context = self->m_context;
    wire::Message message = tombstone;
    const auto answer = co_await context->hooks().call(peer, std::move(message), context->settings().peerTimeout);
    if (!answer || !std::holds_alternative<wire::Ack>(*answer)) {
        co_return;
    }
    self->m_pending.update(tombstone->digest, [&](std::optional<PendingWithdrawal> &value) {
        if (value) {
            auto acknowledgedBy = (*value)->acknowledgedBy;
            acknowledgedBy.insert(peer);
            value = value->with(&PendingWithdrawalFields::acknowledgedBy, std::move(acknowledgedBy));
        }
    });
}

bool Withdrawals::mustAppend(const PendingWithdrawal &withdrawal) const
{
    const core::TimePoint now = m_context->now();
    if (withdrawal->appendedAt && now - *withdrawal->appendedAt < ReappendDelay) {
        return false;
    }
    // The node that received the operator's request may have failed. Only readers take over, at random times, because
    // appends from all nodes at once would overload the log.
    const auto rescueAfter = m_context->jittered(m_context->settings().withdrawalTakeover);
    return withdrawal->isOwn || (now - withdrawal->since >= rescueAfter && m_context->hooks().isReader());
}

std::vector<core::HostId> Withdrawals::unacknowledgedPeers(const core::Digest &digest) const
{
    auto peers = m_context->hooks().peers();
    if (const auto withdrawal = m_pending.find(digest)) {
        std::erase_if(peers, [&](const core::HostId &peer) { return (*withdrawal)->acknowledgedBy.contains(peer); });
    }
    return peers;
}

asio::awaitable<core::Duration> Withdrawals::step(std::shared_ptr<Withdrawals> self)
{
    const ContextPtr context = self->m_context;
    const auto catalogue = context->store().catalogue();
    const auto withdrawals = self->pending();
    for (const PendingWithdrawal &withdrawal : withdrawals) {
        if (catalogue->isWithdrawn(withdrawal->tombstone->digest)) {
            self->m_pending.erase(withdrawal->tombstone->digest);
            self->m_announcements.erase(withdrawal->tombstone->digest);
            continue;
        }
        if (withdrawal->isOwn) {
            announceToAll(self, withdrawal->tombstone);
        }
        if (self->mustAppend(withdrawal)) {
            co_await append(self, withdrawal->tombstone);
        }
    }
    co_return context->settings().withdrawalRetry;
}

asio::awaitable<void> Withdrawals::append(std::shared_ptr<Withdrawals> self, wire::Tombstone tombstone)
{
    const ContextPtr context = self->m_context;
    std::string data = toJson(recordOf(tombstone));
    const auto appended = co_await context->hooks().log.append(context->settings().configStream, std::move(data));
    if (!appended) {
        co_return;
    }
    const core::TimePoint now = context->now();
    self->m_pending.update(tombstone->digest, [&](std::optional<PendingWithdrawal> &value) {
        if (value) {
            value = value->with(&PendingWithdrawalFields::appendedAt, std::optional(now));
        }
    });
    co_await LogFollower::sync(self->m_follower, core::Duration::zero());
}

}
