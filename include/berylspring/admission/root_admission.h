#pragma once

#include "berylspring/admission/pressure.h"
#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace berylspring::admission {

/** @brief What a root request is, as far as its admission depends on it. */
struct RootClass
{
    core::RouteId route;
    core::ServiceId service;
    core::PriorityLevel level = 0; ///< Effective priority.
    core::PriorityLevel routeLevel = 0; ///< Priority of the route, which orders requests of the same level.
    [[nodiscard]] bool operator==(const RootClass &) const = default;
};

/** @brief How a root request that was sent has ended. */
struct RootResult
{
    std::optional<double> pressure; ///< On the services behind the first one, if the response tells it.
    core::Duration latency{};
    bool isFailed = false; ///< Its endpoint failed, or a service behind it.
    [[nodiscard]] bool operator==(const RootResult &) const = default;
};

/**
 * @brief Sheds new root requests at their entry while a service anywhere behind them is short of room. Thread-safe.
 *
 * Refusing a nested call wastes the work that its root has done, so a shortage in a deep service is met where roots
 * enter. For each first service an integrating controller turns the pressure, which responses carry up the chain,
 * into the amount to shed, counted in classes of importance: the least important class is shed first, and the next
 * one only when that is not enough; the most important class is left to the queues of the endpoints. As all first
 * services in front of one bottleneck see the same pressure and all nodes rank the same classes, nodes agree without
 * talking to each other. A route that answers as fast and as well as ever does not depend on the bottleneck and is not
 * shed.
 */
class RootAdmission
{
public:
    explicit RootAdmission(core::RandomSource random);

    /** @return Whether to send the request. */
    [[nodiscard]] bool admits(const RootClass &root, core::TimePoint now);
    void learn(const RootClass &root, const RootResult &result, core::TimePoint now);
    /** @return Classes shed for a service: 0 none, 1.5 the least important one and half of the next. */
    [[nodiscard]] double shedding(const core::ServiceId &service) const;

private:
    using Rank = std::uint32_t; ///< Higher is more important.

    struct Service
    {
        Pressure pressure;
        double shedding = 0;
        core::TimePoint controlledAt;
    };
    struct Route
    {
        Rank rank = 0;
        core::TimePoint seenAt;
        double latency = 0; ///< Smoothed, seconds; 0 before the first answer.
        double baseline = 0; ///< Lowest smoothed latency, which grows slowly.
        double failures = 0; ///< Smoothed share of failed requests.
        double sensitivity = 0; ///< Share of the shedding that applies to the route, 0 to 1.
        core::TimePoint learntAt;
    };

    [[nodiscard]] static Rank rankOf(const RootClass &root) noexcept;
    [[nodiscard]] static Route learnt(Route route, const RootResult &result, core::TimePoint now) noexcept;
    static void control(Service &service, double classes, core::TimePoint now) noexcept;
    [[nodiscard]] std::shared_ptr<const std::vector<Rank>> ranks(core::TimePoint now);

    core::RandomSource m_random;
    core::ShardedMap<core::ServiceId, Service> m_services;
    core::ShardedMap<core::RouteId, Route> m_routes;
    std::mutex m_ranksMutex;
    std::shared_ptr<const std::vector<Rank>> m_ranks; ///< Of the routes in use, in ascending order.
    core::TimePoint m_ranksAt;
};

}
