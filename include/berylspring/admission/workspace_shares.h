#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <array>
#include <atomic>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace berylspring::admission {

/** @brief What one root request adds to the demand of its workspace. */
struct WorkspaceLoad
{
    core::WorkspaceId workspace; ///< Empty: without a workspace; these requests count as one workspace.
    double weight = 1; ///< Share of the workspace relative to the others; positive.
    double cost = 1; ///< Expected work of the request, in a unit that is the same for all requests.
    [[nodiscard]] bool operator==(const WorkspaceLoad &) const = default;
};

/** @brief Recent work that a workspace asked for; decays exponentially with age. Immutable. */
struct WorkspaceDemand
{
    double work = 0;
    double promised = 0; ///< Part of the work that has a promised time to return.
    double workAtLastRequest = 0; ///< The work just after the last request.
    double weight = 1;
    core::TimePoint lastRequestAt;
    core::TimePoint updatedAt;

    [[nodiscard]] WorkspaceDemand decayed(core::TimePoint now) const noexcept;
    [[nodiscard]] WorkspaceDemand
    withRequest(double requestWork, double requestWeight, bool hasPromise, core::TimePoint now) const noexcept;
    [[nodiscard]] bool operator==(const WorkspaceDemand &) const = default;
};

/** @brief Share of the work of a group of requests to shed, and the share of it that is promised. */
struct WorkspaceShare
{
    double shed = 0; ///< 0 to 1.
    double promised = 0; ///< 0 to 1.
    [[nodiscard]] bool operator==(const WorkspaceShare &) const = default;
};

/**
 * @brief Levels at which a rank's work is shared by weighted max-min fairness. Immutable.
 *
 * At level L, a workspace is admitted the share min(1, L x weight / demand) of its work, and its promised work at
 * least. The demand is the one that its last request saw. Demand that has decayed since then would let workspaces with
 * few requests appear smaller than each of their requests finds them, and more than the level allows would be shed.
 */
class FairLevels
{
public:
    FairLevels() = default;
    explicit FairLevels(std::span<const WorkspaceDemand> demands);

    /** @return The level that sheds this share of the work; infinite if nothing has to be shed. */
    [[nodiscard]] double levelFor(double shedShare) const;
    /** @return Share of the work of a workspace with this demand that the level sheds, without regard to promises. */
    [[nodiscard]] static double shedShare(const WorkspaceDemand &demand, double level) noexcept;

    [[nodiscard]] bool operator==(const FairLevels &) const = default;

private:
    struct Point
    {
        double level = 0;
        double admitted = 0; ///< Work that is admitted at the level.
        [[nodiscard]] bool operator==(const Point &) const = default;
    };
    std::vector<Point> m_points; ///< Ascending; admitted work is linear between two points.
};

/**
 * @brief Shares the work of each rank of root requests among workspaces by their demand at this entry. Thread-safe.
 *
 * The state is sharded by rank. It is lost with the process; until a new process has seen 2 s of demand, it shares by
 * what it has seen.
 */
class WorkspaceShares
{
public:
    using Rank = std::uint32_t;
    /** Limits the memory; beyond it, the workspaces without a request for the longest time are removed. */
    static constexpr std::size_t MaxWorkspaces = 1024;
    /** Number removed at once, so that not each request of a new workspace scans all others under the lock. */
    static constexpr std::size_t RemovalBatch = MaxWorkspaces / 16;
    /** Five time constants of the demand, after which less than 1 % of it is left. */
    static constexpr core::Duration MaxAge = std::chrono::seconds(10);
    /** Age of the levels of a rank up to which they are reused, since computing them sorts all of its workspaces. */
    static constexpr core::Duration UpdateInterval = std::chrono::milliseconds(200);
    /** Relative change of a rank's work that updates its levels earlier, so that a burst is not shed by older ones. */
    static constexpr double UpdateShare = 0.1;

    /**
     * @param work Work that the request adds.
     * @return The demand of the workspace, including the request.
     */
    WorkspaceDemand
    recordRequest(Rank rank, const WorkspaceLoad &load, double work, bool hasPromise, core::TimePoint now);
    /** @return Share of the workspace's requests to shed while this share of the rank's work is shed. */
    [[nodiscard]] WorkspaceShare
    shareOf(Rank rank, const WorkspaceDemand &demand, double shedShare, core::TimePoint now);
    /** @return As above, for the next request of a workspace, without counting it. */
    [[nodiscard]] WorkspaceShare
    shareOf(Rank rank, const WorkspaceLoad &load, double shedShare, core::TimePoint now) const;
    /** @return The largest share of any workspace while this share of the rank's work is shed. */
    [[nodiscard]] double highestShare(Rank rank, double shedShare, core::TimePoint now) const;
    /** @return Number of workspaces with demand in the rank. */
    [[nodiscard]] std::size_t size(Rank rank) const;

private:
    static constexpr std::size_t ShardCount = 16;

    struct RankState
    {
        std::unordered_map<core::WorkspaceId, WorkspaceDemand> workspaces;
        WorkspaceDemand total;
        std::shared_ptr<const FairLevels> levels;
        double totalOfLevels = 0; ///< Work of the rank when the levels were computed.
        core::TimePoint levelsAt;
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<Rank, RankState> ranks;
    };

    [[nodiscard]] Shard &shardOf(Rank rank) noexcept;
    [[nodiscard]] const Shard &shardOf(Rank rank) const noexcept;
    [[nodiscard]] static std::vector<WorkspaceDemand> recentDemands(const RankState &state, core::TimePoint now);
    [[nodiscard]] std::vector<WorkspaceDemand> recentDemands(Rank rank, core::TimePoint now) const;
    [[nodiscard]] double levelFor(Rank rank, double shedShare, core::TimePoint now);
    /** @brief Removes, once per MaxAge, what a rank without requests would keep for as long as the process runs. */
    void removeIdleRanks(core::TimePoint now);

    std::array<Shard, ShardCount> m_shards;
    std::atomic<core::TimePoint> m_idleRemovedAt{core::TimePoint()};
};

}
