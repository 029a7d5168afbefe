#pragma once

#include "berylspring/limit/limit_service.h"
#include "berylspring/limit/owner_bucket.h"
#include "limit_context.h"
#include "node_state.h"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace berylspring::limit::detail {

/** @brief Manages the buckets that this node owns, and takes over and hands over their ownership. */
class BucketManager : public std::enable_shared_from_this<BucketManager>
{
public:
    explicit BucketManager(std::shared_ptr<LimitContext> context);

    [[nodiscard]] boost::asio::awaitable<wire::GrantReply> grant(core::HostId from, wire::GrantRequest request);
    [[nodiscard]] boost::asio::awaitable<wire::LoanReply> lend(wire::LoanRequest request);
    /** @return HandoverReply, or Refused while grants or loans of an earlier owner may still be in use. */
    [[nodiscard]] wire::Message handOverTo(const core::HostId &to, const wire::HandoverRequest &request);
    /** @brief Graceful shutdown: asks the next owner of each bucket to fetch it. */
    [[nodiscard]] boost::asio::awaitable<void> stop();
    /** @brief Renews the lease, drops idle buckets and, on a new node, starts those that it owns. */
    void tick();

private:
    struct Slot
    {
        Ownership ownership;
        std::optional<OwnerBucket> bucket;
        std::uint64_t generation = 0; ///< Identifies replies to loan requests of an earlier bucket.
        bool isStarting = false;
        core::TimePoint retryAt{}; ///< No new takeover attempt before this time.
        core::TimePoint lastActive{}; ///< Time of the latest grant, loan or handover.
        std::optional<core::HostId> handedOverTo;
        std::shared_ptr<const ViewHistory> orderView; ///< View from which isFirst was computed.
        bool isFirst = false;
        core::TimePoint notFirstSince = core::TimePoint::max();
    };
    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<core::WorkspaceId, Slot> slots;
    };
    /** @brief Whether a bucket can be used, or how long to wait for it. */
    struct Readiness
    {
        wire::GrantStatus status = wire::GrantStatus::NotOwner;
        core::Duration wait{};
        bool mayStart = false;
    };

    [[nodiscard]] Shard &shardOf(const core::WorkspaceId &workspace);
    [[nodiscard]] OwnerBucket makeBucket(const WorkspaceLimit &limit, HandoverState state, core::TimePoint start) const;
    [[nodiscard]] bool isFirst(Slot &slot, const core::WorkspaceId &workspace, const NodeSnapshot &node) const;
    [[nodiscard]] Readiness
    readiness(Slot &slot, const core::WorkspaceId &workspace, const NodeSnapshot &node, const WorkspaceLimit &limit);
    [[nodiscard]] boost::asio::awaitable<Readiness> ensureReady(core::WorkspaceId workspace, WorkspaceLimit limit);
    [[nodiscard]] boost::asio::awaitable<void> acquireOwnership(core::WorkspaceId workspace, WorkspaceLimit limit);
    /** @brief Takes over buckets before their first request, so that they refill from the start of the node. */
    void startBuckets(const NodeSnapshot &node);
    /** @return The next part of the workspaces with a limit. */
    [[nodiscard]] std::vector<core::WorkspaceId> nextToStart();
    [[nodiscard]] static bool isEvictable(Slot &slot, const NodeSnapshot &node);
    [[nodiscard]] StartPlan planFor(const core::WorkspaceId &workspace, const NodeSnapshot &node);
    /** @return The ownership if the predecessor does not answer. */
    [[nodiscard]] Ownership ownershipWithoutReply(const StartPlan &plan, const NodeSnapshot &node) const;
    [[nodiscard]] boost::asio::awaitable<std::optional<wire::HandoverReply>>
    askPredecessor(core::HostId predecessor, core::WorkspaceId workspace);
    void finishStart(const core::WorkspaceId &workspace,
                     const WorkspaceLimit &limit,
                     const NodeSnapshot &startSnapshot,
                     const StartPlan &plan,
                     const std::optional<wire::HandoverReply> &answer);
    void storeStart(const core::WorkspaceId &workspace,
                    const NodeSnapshot &startSnapshot,
                    Ownership ownership,
                    std::optional<OwnerBucket> bucket);
    [[nodiscard]] HandoverState
    handoverStateFrom(const wire::HandoverReply &reply, core::TimePoint sentAt, core::TimePoint now) const;
    void requestLoans(const core::WorkspaceId &workspace, std::uint64_t generation, const std::vector<LoanNeed> &needs);
    [[nodiscard]] boost::asio::awaitable<void>
    borrow(core::WorkspaceId workspace, std::uint64_t generation, LoanNeed need);
    [[nodiscard]] boost::asio::awaitable<void> requestTakeover(core::WorkspaceId workspace);

    std::shared_ptr<LimitContext> m_context;
    const LimitSettings &m_settings;
    const LimitHooks &m_hooks;
    Totals &m_totals;
    NodeState m_nodeState;
    std::atomic<bool> m_isStopping{false};
    std::array<Shard, 16> m_shards;
    std::mutex m_startMutex;
    std::vector<core::WorkspaceId> m_startNames;
    std::size_t m_startCursor = 0;
};

}
