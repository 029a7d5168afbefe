#pragma once

#include "berylspring/limit/demand_estimate.h"
#include "berylspring/limit/entry_tokens.h"
#include "berylspring/limit/limit_service.h"
#include "bucket_manager.h"

#include <array>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace berylspring::limit::detail {

/** @brief One held request. The signal is used on the strand only, the other members under the shard's mutex. */
struct Waiter
{
    using Strand = boost::asio::strand<boost::asio::any_io_executor>;

    Waiter(const boost::asio::any_io_executor &executor, core::TimePoint end)
        : strand(executor)
        , signal(strand, boost::asio::steady_timer::time_point::max())
        , deadline(end)
    {
    }

    Strand strand;
    boost::asio::steady_timer signal; ///< Never expires; cancelling it resumes the request.
    bool isWoken = false; ///< Strand only.
    core::TimePoint deadline;
    std::optional<core::TimePoint> tokenUntil; ///< Set once a token is assigned: its expiry.
    std::optional<core::Duration> retryAfter; ///< Set once the request is refused.
};

/** @brief Admits requests at the entry node with cached tokens, and holds requests while it fetches more. */
class EntryLimiter : public std::enable_shared_from_this<EntryLimiter>
{
public:
    using Admission = tl::expected<void, core::Refusal>;

    EntryLimiter(std::shared_ptr<LimitContext> context, std::shared_ptr<BucketManager> bucketManager);

    [[nodiscard]] boost::asio::awaitable<Admission> admit(core::WorkspaceId workspace, core::Duration maxHold);
    /** @brief Removes workspaces without recent requests. */
    void tick();

private:
    using WaiterPointer = std::shared_ptr<Waiter>;

    struct Slot
    {
        EntryTokens tokens;
        DemandEstimate demand;
        std::deque<WaiterPointer> waiters;
        bool isFetching = false;
        bool isSweeping = false; ///< A coroutine refuses waiters at their deadlines.
        std::uint32_t lastBatchSize = 0;
        double maxPrefetch = 0;
        core::Duration lifetime{}; ///< Lifetime of the last grant; zero unless tokens were plentiful.
        core::TimePoint refuseUntil{}; ///< No owner had tokens: requests are refused until then.
        std::vector<core::HostId> targets;
        core::TimePoint targetsUntil{};
        std::size_t target = 0;
        core::TimePoint lastUsed{};
    };
    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<core::WorkspaceId, Slot> slots;
    };
    /** @brief A grant request to be sent. */
    struct Fetch
    {
        core::HostId host;
        std::uint32_t tokens = 0;
        bool isLastTarget = false;
    };

    [[nodiscard]] Shard &shardOf(const core::WorkspaceId &workspace);
    [[nodiscard]] Admission refuse(core::Duration retryAfter);
    void startFetch(const core::WorkspaceId &workspace);
    void startSweep(const core::WorkspaceId &workspace);
    [[nodiscard]] boost::asio::awaitable<void> sweep(core::WorkspaceId workspace);
    /** @return Time until the next deadline, or nothing without waiters. */
    [[nodiscard]] std::optional<core::Duration> refuseExpired(const core::WorkspaceId &workspace);
    [[nodiscard]] boost::asio::awaitable<void> fetchAll(core::WorkspaceId workspace);
    /** @return Tokens to request in addition to one for each waiter. */
    [[nodiscard]] static std::size_t prefetch(const Slot &slot, core::TimePoint now);
    [[nodiscard]] std::optional<Fetch> nextFetch(const core::WorkspaceId &workspace);
    [[nodiscard]] std::vector<core::HostId> targetsFor(const core::WorkspaceId &workspace) const;
    [[nodiscard]] boost::asio::awaitable<wire::GrantReply> request(core::WorkspaceId workspace, Fetch fetch);
    /** @return Delay before the next request. */
    [[nodiscard]] core::Duration apply(const core::WorkspaceId &workspace,
                                       const Fetch &fetch,
                                       const wire::GrantReply &reply,
                                       core::TimePoint sentAt);
    void assignTokens(Slot &slot, core::TimePoint now);
    void refuseExpiring(Slot &slot, core::TimePoint now, core::Duration wait);
    static void wake(const WaiterPointer &waiter);
    [[nodiscard]] static boost::asio::awaitable<bool> wait(WaiterPointer waiter);

    std::shared_ptr<LimitContext> m_context;
    const LimitSettings &m_settings;
    const LimitHooks &m_hooks;
    std::shared_ptr<BucketManager> m_bucketManager;
    Totals &m_totals;
    std::array<Shard, 16> m_shards;
};

}
