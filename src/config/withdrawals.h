#pragma once

#include "berylspring/config/write_outcome.h"
#include "berylspring/core/sharded_map.h"
#include "config/writer.h"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace berylspring::config::detail {

/** @brief A key withdrawal that is not yet in the catalogue. Immutable. */
struct PendingWithdrawalFields
{
    wire::Tombstone tombstone;
    bool isOwn = false; ///< Whether an operator sent it to this node.
    core::TimePoint since;
    std::optional<core::TimePoint> appendedAt; ///< Time of the last append that the log confirmed.
    std::set<core::HostId> acknowledgedBy; ///< Peers that have acknowledged the tombstone.
    [[nodiscard]] bool operator==(const PendingWithdrawalFields &) const = default;
};
using PendingWithdrawal = core::Immutable<PendingWithdrawalFields>;

/** @brief Key withdrawals that are not yet recorded in the log. Thread-safe. */
class Withdrawals
{
public:
    Withdrawals(ContextPtr context, FollowerPtr follower, WriterPtr writer)
        : m_context(std::move(context))
        , m_follower(std::move(follower))
        , m_writer(std::move(writer))
    {
    }

    [[nodiscard]] bool contains(const core::Digest &digest) const
    {
        return m_pending.find(digest).has_value();
    }

    /** @brief Applies a withdrawal here, sends it to all peers and appends it; see ConfigService::remove(). */
    static boost::asio::awaitable<Result<WriteOutcome>>
    withdraw(std::shared_ptr<Withdrawals> self, core::KeyId key, core::Digest digest);

    /** @brief Stores a tombstone received from a peer. */
    void accept(const core::HostId &from, const wire::Tombstone &tombstone);

    /** @brief Starts sending the pending tombstones to a peer that has not acknowledged them. */
    static void sendPending(const std::shared_ptr<Withdrawals> &self, const core::HostId &peer);

    /** @brief One iteration of the background loop. @return Time until the next one. */
    static boost::asio::awaitable<core::Duration> step(std::shared_ptr<Withdrawals> self);

private:
    /** @brief A tombstone and its remaining recipients, shared by the coroutines that send it. */
    struct Announcement;

    void add(const wire::Tombstone &tombstone, bool isOwn);
    [[nodiscard]] std::vector<PendingWithdrawal> pending() const;
    [[nodiscard]] std::uint32_t acknowledgementCount(const core::Digest &digest) const;
    [[nodiscard]] bool mustAppend(const PendingWithdrawal &withdrawal) const;
    [[nodiscard]] std::vector<core::HostId> unacknowledgedPeers(const core::Digest &digest) const;
    static std::shared_ptr<Announcement> announce(const std::shared_ptr<Withdrawals> &self,
                                                  const wire::Tombstone &tombstone,
                                                  std::vector<core::HostId> peers);
    /** @brief Starts sending to all peers that have not acknowledged it, unless that is still in progress. */
    static void announceToAll(const std::shared_ptr<Withdrawals> &self, const wire::Tombstone &tombstone);
    static boost::asio::awaitable<void> sendToAll(std::shared_ptr<Withdrawals> self,
                                                  std::shared_ptr<Announcement> announcement);
    static boost::asio::awaitable<void>
    sendTo(std::shared_ptr<Withdrawals> self, wire::Tombstone tombstone, core::HostId peer);
    static boost::asio::awaitable<void> append(std::shared_ptr<Withdrawals> self, wire::Tombstone tombstone);

    ContextPtr m_context;
    FollowerPtr m_follower;
    WriterPtr m_writer;
    core::ShardedMap<core::Digest, PendingWithdrawal> m_pending;
    core::ShardedMap<core::Digest, std::weak_ptr<Announcement>> m_announcements; ///< Announcements to all peers.
};
using WithdrawalsPtr = std::shared_ptr<Withdrawals>;

/** @return The log record of a withdrawal. */
[[nodiscard]] LogRecord recordOf(const wire::Tombstone &tombstone);

}
