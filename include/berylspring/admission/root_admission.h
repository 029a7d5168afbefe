#pragma once

#include "berylspring/admission/pressure.h"
#include "berylspring/admission/workspace_shares.h"
#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace berylspring::admission {

/** @brief Properties of a root request that decide its admission. */
struct RootClass
{
    core::RouteId route;
    core::ServiceId service;
    core::PriorityLevel level = 0; ///< Effective priority.
    core::PriorityLevel routeLevel = 0; ///< Priority of the route; orders requests of the same level.
    [[nodiscard]] bool operator==(const RootClass &) const = default;
};

/** @brief A root request that asks for admission. */
struct RootRequest
{
    RootClass root;
    /**
     * The request returns at a time that it was promised (see ReturnSchedule). It is sent unless more important
     * requests are shed, and newcomers of its rank are shed the more for it.
     */
    bool hasPromise = false;
    std::optional<WorkspaceLoad> load; ///< Without it, the request is shed by the share of its rank.
    [[nodiscard]] bool operator==(const RootRequest &) const = default;
};

/** @brief Whether a root request is sent. */
struct RootDecision
{
    bool isAdmitted = true;
    double workspaceShedShare = 0; ///< Share of the work of its workspace that is shed; 0 without a WorkspaceLoad.
    [[nodiscard]] bool operator==(const RootDecision &) const = default;
};

/** @brief Result of a root request that was sent. */
struct RootResult
{
    std::optional<double> pressure; ///< On the services behind the first one, if the response reports it.
    core::Duration latency{};
    bool isFailed = false; ///< Its endpoint or a service behind it failed.
    [[nodiscard]] bool operator==(const RootResult &) const = default;
};

/**
 * @brief Sheds new root requests at the entry node while a service anywhere behind them is overloaded. Thread-safe.
 *
 * Refusing a nested call wastes the work that its root request has done, so overload of a deep service is handled where
 * root requests enter. For each first service, a controller converts the pressure that responses carry up the call
 * chain into the share of the demand to shed. The least important requests are shed first, according to the demand of
 * each rank that this node has seen. All first services in front of one bottleneck see the same pressure, and the mix
 * of requests is about the same at all nodes, so nodes reach the same result without coordination. A route whose
 * latency and failures have not risen does not depend on the bottleneck and is not shed.
 *
 * Within the rank that is partly shed, requests with a WorkspaceLoad are shed by the fair shares of their workspaces
 * (see WorkspaceShares), which leave the shed share of the rank as it is.
 */
class RootAdmission
{
public:
    explicit RootAdmission(core::RandomSource random);

    /** Higher is more important. */
    using Rank = std::uint32_t;
    [[nodiscard]] static Rank rankOf(const RootClass &root) noexcept;

    [[nodiscard]] RootDecision decide(const RootRequest &request, core::TimePoint now);
    /** @return Whether to send a request that is not shed by the share of its workspace. */
    [[nodiscard]] bool admits(const RootClass &root, core::TimePoint now, bool hasPromise = false)
    {
        return decide({.root = root, .hasPromise = hasPromise, .load = std::nullopt}, now).isAdmitted;
    }
    /** @return Whether requests of the same first service that are more important than this one are shed. */
    [[nodiscard]] bool shedsMoreImportant(const RootClass &root, core::TimePoint now);
    /** @return Probability with which decide() sheds such a request without a promise. Counts no demand. */
    [[nodiscard]] double shedShare(const RootRequest &request, core::TimePoint now) const;
    void recordResult(const RootClass &root, const RootResult &result, core::TimePoint now);
    /** @return Share of the demand for a first service that is shed, 0 to 1. */
    [[nodiscard]] double shedding(const core::ServiceId &service, core::TimePoint now) const;
    /** @return The largest share that is shed for any first service. */
    [[nodiscard]] double highestShedding(core::TimePoint now) const;
    /**
     * @return The largest share that is shed of any workspace in a rank that is partly shed. An upper estimate for the
     * first service that is shed most: it takes the highest sensitivity of all routes.
     */
    [[nodiscard]] double highestWorkspaceShedding(core::TimePoint now) const;

private:
    /** @brief Share of one rank in the demand that reaches a bottleneck. */
    struct RankDemand
    {
        Rank rank = 0;
        double below = 0; ///< Share of all lower ranks together, 0 to 1.
        double own = 0; ///< Share of this rank, 0 to 1.
        double promised = 0; ///< Share of the requests of this rank that have a promise, 0 to 1.
        /** @return Whether requests of a higher rank are shed too when this share of the demand is shed. */
        [[nodiscard]] bool isExceededBy(double shedding) const noexcept
        {
            return shedding > below + own;
        }
        /** @return Share of this rank that is shed when this share of the demand is shed. */
        [[nodiscard]] double shareToShed(double shedding) const noexcept;
    };

    struct Service
    {
        double pressure = 0; ///< Smoothed.
        double admitted = 1; ///< Share of the demand that is admitted at the target pressure of 1.
        core::TimePoint updatedAt;
    };
    /** @brief Offered requests of a rank that reach a bottleneck; the count decays exponentially with age. */
    struct Demand
    {
        double requests = 0;
        double promised = 0; ///< Those among them that have a promise.
        core::TimePoint at;
    };
    struct Route
    {
        double latency = 0; ///< Smoothed, seconds; 0 before the first response.
        double baseline = 0; ///< Lowest smoothed latency, seconds; grows slowly.
        double failures = 0; ///< Smoothed share of failed requests.
        double sensitivity = 0; ///< How far the route depends on the bottleneck, 0 to 1; scales its shedding.
        core::TimePoint updatedAt;
    };

    [[nodiscard]] static Route withResult(Route route, const RootResult &result, core::TimePoint now) noexcept;
    [[nodiscard]] static Demand decayed(const Demand &demand, core::TimePoint now) noexcept;
    [[nodiscard]] static Service withPressure(Service service, double sample, core::TimePoint now) noexcept;
    [[nodiscard]] static double shareToShed(const Service &service, core::TimePoint now) noexcept;
    /** @return The shares, updated if they are old. */
    [[nodiscard]] std::shared_ptr<const std::vector<RankDemand>> shares(core::TimePoint now);
    /** @return The shares that were last updated; null if they are old. */
    [[nodiscard]] std::shared_ptr<const std::vector<RankDemand>> recentShares(core::TimePoint now) const;
    /** @return As shares(), without keeping an update, so that a reader does not move the times of the updates. */
    [[nodiscard]] std::shared_ptr<const std::vector<RankDemand>> peekShares(core::TimePoint now) const;
    /** @param added Requests that are counted in addition to the demand, by their rank. */
    [[nodiscard]] std::shared_ptr<const std::vector<RankDemand>> computeShares(core::TimePoint now,
                                                                               std::map<Rank, double> added = {}) const;
    [[nodiscard]] std::optional<RankDemand> demandOf(Rank rank, core::TimePoint now);
    [[nodiscard]] static std::optional<RankDemand> demandIn(const std::vector<RankDemand> &shares, Rank rank);
    /** @return Share of the requests of the rank to shed when this share of the demand is shed. */
    [[nodiscard]] static double shareOf(const RankDemand &demand, double shedding, double sensitivity) noexcept;
    /** @return Share of the newcomers to shed so that they and the promised requests together keep the share. */
    [[nodiscard]] static double shareOfNewcomers(double share, double promised) noexcept;
    /**
     * @return The share of a workspace, less some requests that are sent even if promised ones take all of the rank's
     * capacity, because only responses show that the overload is over.
     */
    [[nodiscard]] static WorkspaceShare withProbes(const WorkspaceShare &own) noexcept;

    core::RandomSource m_random;
    core::ShardedMap<core::ServiceId, Service> m_services;
    core::ShardedMap<core::RouteId, Route> m_routes;
    core::ShardedMap<Rank, Demand> m_demands;
    WorkspaceShares m_workspaces;
    mutable std::mutex m_sharesMutex;
    std::shared_ptr<const std::vector<RankDemand>> m_shares; ///< In ascending order of rank.
    core::TimePoint m_sharesAt;
};

}
