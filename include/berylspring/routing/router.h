#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/routing/cold_share.h"
#include "berylspring/routing/endpoint_traffic.h"
#include "berylspring/routing/endpoint_view.h"
#include "berylspring/routing/explanation.h"
#include "berylspring/routing/ranking.h"
#include "berylspring/routing/routing_request.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace berylspring::routing {

/** @brief Dependencies of the router. No hook is called under a lock. */
struct RouterHooks
{
    core::RandomSource random;
    /** Reports that requests of a service are routed by cost from now on, or no longer. Optional. */
    std::function<void(const core::ServiceId &, bool isByCost)> policyChanged;
};

/** @brief An endpoint that the router has statistics of. */
struct KnownEndpoint
{
    core::ServiceId service;
    core::HostId host;
    [[nodiscard]] bool operator==(const KnownEndpoint &) const = default;
};

/** @brief Learned figures of one endpoint, for metrics. */
struct EndpointWorkState
{
    core::ServiceId service;
    core::HostId host;
    double cost = 0; ///< Mean cost of the requests of the service in seconds.
    double slowness = 1;
    double outstanding = 0; ///< Seconds at slowness 1.
    std::uint64_t chosen = 0; ///< Requests that this node has sent to the endpoint.
    [[nodiscard]] bool operator==(const EndpointWorkState &) const = default;
};

/**
 * @brief Chooses endpoints and keeps their traffic statistics. Thread-safe; sharded by service.
 *
 * Each call of started() must be followed by one of finished() for the same service and host.
 */
class Router
{
public:
    explicit Router(RouterHooks hooks, RouterSettings settings = {});

    /**
     * @param endpoints Candidate endpoints; those of other services are skipped.
     * @return The chosen host, if any, and the reason why each excluded endpoint was excluded.
     */
    [[nodiscard]] RoutingDecision
    choose(const RoutingRequest &request, std::span<const EndpointView> endpoints, core::TimePoint now);
    /**
     * @brief Explains what choose() would decide now, without random numbers or a change of state.
     * @param endpoints As for choose().
     */
    [[nodiscard]] RouteExplanation
    explain(const RoutingRequest &request, std::span<const EndpointView> endpoints, core::TimePoint now) const;
    /**
     * @brief Records that a request was sent to the endpoint.
     * @return Its expected cost in seconds, for WorkReport::expectedCost.
     */
    double started(const core::ServiceId &service,
                   const core::HostId &host,
                   core::TimePoint now,
                   CostClass costClass = CostClass::None);
    /**
     * @brief Records that the request has ended.
     * @param latency Time since started().
     * @param inFlight Requests running on the endpoint, as reported by its response.
     * @param report What the response tells about the endpoint's work.
     */
    void finished(const core::ServiceId &service,
                  const core::HostId &host,
                  RoutingResult result,
                  core::Duration latency,
                  std::uint32_t inFlight,
                  core::TimePoint now,
                  const WorkReport &report = {});
    /** @return Traffic statistics of the endpoint; empty if it is not known. */
    [[nodiscard]] EndpointTraffic traffic(const core::ServiceId &service, const core::HostId &host) const;
    /** @return Expected cost in seconds of a request of this class; an initial value before the service's first sample.
     */
    [[nodiscard]] double expectedCost(const core::ServiceId &service, CostClass costClass) const;
    /** @return The endpoints of the services whose requests are routed by cost. */
    [[nodiscard]] std::vector<EndpointWorkState> workStates(core::TimePoint now) const;
    /** @return The endpoints with statistics, in unspecified order. */
    [[nodiscard]] std::vector<KnownEndpoint> knownEndpoints() const;
    /**
     * @brief Removes the statistics of an endpoint that has left permanently, unless requests are in flight. The costs
     * of its service are kept.
     */
    void forget(const core::ServiceId &service, const core::HostId &host);

private:
    static constexpr std::size_t ShardCount = 16;
    using TrafficByHost = std::unordered_map<core::HostId, EndpointTraffic>;

    struct ServiceState
    {
        ServiceWork work;
        bool wasByCost = false; ///< At the last decision.
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<core::ServiceId, TrafficByHost> services;
        std::unordered_map<core::ServiceId, ServiceState> works;
        std::unordered_map<core::ServiceId, ColdShares> coldShares; ///< Of services with an endpoint that was cold.
    };

    /** @return Traffic of the endpoints of the service. Valid while the shard is locked. */
    [[nodiscard]] static const TrafficByHost &trafficOf(const Shard &shard, const core::ServiceId &service);
    /** @return The endpoints with their traffic, which is not copied. */
    [[nodiscard]] static std::vector<Candidate> candidatesOf(const TrafficByHost &traffic,
                                                             std::span<const EndpointView> endpoints);
    [[nodiscard]] Shard &shardOf(const core::ServiceId &service) noexcept;
    [[nodiscard]] const Shard &shardOf(const core::ServiceId &service) const noexcept;

    RouterHooks m_hooks;
    RouterSettings m_settings;
    std::array<Shard, ShardCount> m_shards;
};

}
