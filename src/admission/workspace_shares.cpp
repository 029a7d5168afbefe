#include "berylspring/admission/workspace_shares.h"

#include "admission/decay.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>
#include <utility>

namespace berylspring::admission {

namespace {

/** As for the demand of the ranks: steady at a few requests per second, and shorter than most overloads. */
constexpr double DemandTimeConstantSeconds = 2.0;

using Workspaces = std::unordered_map<core::WorkspaceId, WorkspaceDemand>;

void removeIdle(Workspaces &workspaces, core::TimePoint now)
{
    std::erase_if(workspaces,
                  [&](const auto &entry) { return now - entry.second.lastRequestAt > WorkspaceShares::MaxAge; });
}

void removeOldest(Workspaces &workspaces, std::size_t count)
{
    std::vector<Workspaces::const_iterator> entries;
    entries.reserve(workspaces.size());
    for (auto entry = workspaces.cbegin(); entry != workspaces.cend(); ++entry) {
        entries.push_back(entry);
    }
    const auto end = entries.begin() + static_cast<std::ptrdiff_t>(std::min(count, entries.size()));
    std::nth_element(entries.begin(), end, entries.end(), [](const auto &left, const auto &right) {
        return left->second.lastRequestAt < right->second.lastRequestAt;
    });
    std::for_each(entries.begin(), end, [&](const auto &entry) { workspaces.erase(entry); });
}

void makeRoom(Workspaces &workspaces, core::TimePoint now)
{
    constexpr std::size_t Target = WorkspaceShares::MaxWorkspaces - WorkspaceShares::RemovalBatch;
    removeIdle(workspaces, now);
    if (workspaces.size() > Target) {
        removeOldest(workspaces, workspaces.size() - Target);
    }
}

}

WorkspaceDemand WorkspaceDemand::decayed(core::TimePoint now) const noexcept
{
    WorkspaceDemand next = *this;
    const double factor = decayOver(now - updatedAt, DemandTimeConstantSeconds);
    next.work *= factor;
    next.promised *= factor;
    next.updatedAt = std::max(updatedAt, now);
    return next;
}

WorkspaceDemand WorkspaceDemand::withRequest(double requestWork,
                                             double requestWeight,
                                             bool hasPromise,
                                             core::TimePoint now) const noexcept
{
    WorkspaceDemand next = decayed(now);
    next.work += requestWork;
    next.promised += hasPromise ? requestWork : 0;
    next.workAtLastRequest = next.work;
    next.weight = requestWeight > 0 ? requestWeight : 1;
    next.lastRequestAt = next.updatedAt;
    return next;
}

FairLevels::FairLevels(std::span<const WorkspaceDemand> demands)
{
    // The admitted work of a workspace starts at its promised work and rises with the level up to all of its work.
    std::vector<std::pair<double, double>> slopeChanges; // By level.
    double admitted = 0;
    for (const WorkspaceDemand &demand : demands) {
        if (demand.work <= 0) {
            continue;
        }
        const double fullLevel = std::max(demand.workAtLastRequest, demand.work) / demand.weight;
        const double slope = demand.work / fullLevel;
        slopeChanges.emplace_back(fullLevel * demand.promised / demand.work, slope);
        slopeChanges.emplace_back(fullLevel, -slope);
        admitted += demand.promised;
    }
    std::sort(slopeChanges.begin(), slopeChanges.end());
    m_points.push_back({.level = 0, .admitted = admitted});
    double slope = 0;
    for (const auto &[level, change] : slopeChanges) {
        admitted += std::max(slope, 0.0) * (level - m_points.back().level);
        slope += change;
        m_points.push_back({.level = level, .admitted = admitted});
    }
}

double FairLevels::levelFor(double shedShare) const
{
    if (m_points.empty() || shedShare <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    const double admitted = (1 - shedShare) * m_points.back().admitted;
    const auto above =
        std::lower_bound(m_points.begin(), m_points.end(), admitted, [](const Point &point, double work) {
            return point.admitted < work;
        });
    if (above == m_points.begin() || above == m_points.end()) {
        return above == m_points.end() ? m_points.back().level : 0;
    }
    const Point &below = *std::prev(above);
    const double part = (admitted - below.admitted) / (above->admitted - below.admitted);
    return below.level + part * (above->level - below.level);
}

double FairLevels::shedShare(const WorkspaceDemand &demand, double level) noexcept
{
    return demand.work <= 0 ? 0 : std::clamp(1 - level * demand.weight / demand.work, 0.0, 1.0);
}

WorkspaceShares::Shard &WorkspaceShares::shardOf(Rank rank) noexcept
{
    return m_shards[rank % ShardCount];
}

const WorkspaceShares::Shard &WorkspaceShares::shardOf(Rank rank) const noexcept
{
    return m_shards[rank % ShardCount];
}

void WorkspaceShares::removeIdleRanks(core::TimePoint now)
{
    core::TimePoint last = m_idleRemovedAt;
    if (now - last <= MaxAge || !m_idleRemovedAt.compare_exchange_strong(last, now)) {
        return;
    }
    for (Shard &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        for (auto &[rank, state] : shard.ranks) {
            removeIdle(state.workspaces, now);
        }
        std::erase_if(shard.ranks, [](const auto &entry) { return entry.second.workspaces.empty(); });
    }
}

WorkspaceDemand
WorkspaceShares::recordRequest(Rank rank, const WorkspaceLoad &load, double work, bool hasPromise, core::TimePoint now)
{
    removeIdleRanks(now);
    Shard &shard = shardOf(rank);
    const std::scoped_lock lock(shard.mutex);
    RankState &state = shard.ranks[rank];
    state.total = state.total.withRequest(work, 1, hasPromise, now);
    if (!state.workspaces.contains(load.workspace) && state.workspaces.size() >= MaxWorkspaces) {
        makeRoom(state.workspaces, now);
    }
    WorkspaceDemand &demand = state.workspaces[load.workspace];
    demand = demand.withRequest(work, load.weight, hasPromise, now);
    return demand;
}

std::vector<WorkspaceDemand> WorkspaceShares::recentDemands(const RankState &state, core::TimePoint now)
{
    std::vector<WorkspaceDemand> demands;
    demands.reserve(state.workspaces.size());
    for (const auto &[workspace, demand] : state.workspaces) {
        if (now - demand.lastRequestAt <= MaxAge) {
            demands.push_back(demand.decayed(now));
        }
    }
    return demands;
}

double WorkspaceShares::levelFor(Rank rank, double shedShare, core::TimePoint now)
{
    Shard &shard = shardOf(rank);
    std::shared_ptr<const FairLevels> levels;
    double total = 0;
    std::vector<WorkspaceDemand> demands;
    {
        const std::scoped_lock lock(shard.mutex);
        RankState &state = shard.ranks[rank];
        total = state.total.decayed(now).work;
        const bool isChanged = std::abs(total - state.totalOfLevels) > UpdateShare * state.totalOfLevels;
        if (state.levels && !isChanged && now - state.levelsAt < UpdateInterval) {
            return state.levels->levelFor(shedShare);
        }
        // Other threads use the previous levels while this one computes the new ones.
        state.levelsAt = now;
        state.totalOfLevels = total;
        removeIdle(state.workspaces, now);
        demands = recentDemands(state, now);
    }
    levels = std::make_shared<const FairLevels>(demands);
    const std::scoped_lock lock(shard.mutex);
    shard.ranks[rank].levels = levels;
    return levels->levelFor(shedShare);
}

WorkspaceShare WorkspaceShares::shareOf(Rank rank, const WorkspaceDemand &demand, double shedShare, core::TimePoint now)
{
    return {.shed = FairLevels::shedShare(demand, levelFor(rank, shedShare, now)),
            .promised = demand.work > 0 ? demand.promised / demand.work : 0};
}

std::vector<WorkspaceDemand> WorkspaceShares::recentDemands(Rank rank, core::TimePoint now) const
{
    const Shard &shard = shardOf(rank);
    const std::scoped_lock lock(shard.mutex);
    const auto state = shard.ranks.find(rank);
    return state == shard.ranks.end() ? std::vector<WorkspaceDemand>() : recentDemands(state->second, now);
}

WorkspaceShare
WorkspaceShares::shareOf(Rank rank, const WorkspaceLoad &load, double shedShare, core::TimePoint now) const
{
    std::vector<WorkspaceDemand> demands;
    WorkspaceDemand before;
    {
        const Shard &shard = shardOf(rank);
        const std::scoped_lock lock(shard.mutex);
        if (const auto state = shard.ranks.find(rank); state != shard.ranks.end()) {
            demands = recentDemands(state->second, now);
            const auto known = state->second.workspaces.find(load.workspace);
            before = known == state->second.workspaces.end() ? before : known->second;
        }
    }
    const WorkspaceDemand demand = before.withRequest(load.cost, load.weight, false, now);
    if (now - before.lastRequestAt > MaxAge) {
        demands.push_back(demand);
    }
    return {.shed = FairLevels::shedShare(demand, FairLevels(demands).levelFor(shedShare)),
            .promised = demand.work > 0 ? demand.promised / demand.work : 0};
}

double WorkspaceShares::highestShare(Rank rank, double shedShare, core::TimePoint now) const
{
    const std::vector<WorkspaceDemand> demands = recentDemands(rank, now);
    const double level = FairLevels(demands).levelFor(shedShare);
    double highest = 0;
    for (const WorkspaceDemand &demand : demands) {
        highest = std::max(highest, FairLevels::shedShare(demand, level));
    }
    return highest;
}

std::size_t WorkspaceShares::size(Rank rank) const
{
    const Shard &shard = shardOf(rank);
    const std::scoped_lock lock(shard.mutex);
    const auto state = shard.ranks.find(rank);
    return state == shard.ranks.end() ? 0 : state->second.workspaces.size();
}

}
