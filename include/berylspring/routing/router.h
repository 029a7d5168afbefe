#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/routing/cold_share.h"
#include "berylspring/routing/endpoint_traffic.h"
#include "berylspring/routing/endpoint_view.h"
#include "berylspring/routing/ranking.h"
#include "berylspring/routing/routing_request.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <span>
#include <unordered_map>

namespace berylspring::routing {

/** @brief Dependencies of the router. No hook is called under a lock. */
struct RouterHooks
{
    core::RandomSource random;
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
    /** @brief Records that a request was sent to the endpoint. */
    void started(const core::ServiceId &service, const core::HostId &host, core::TimePoint now);
    /**
     * @brief Records that the request has ended.
     * @param latency Time since started().
     * @param inFlight Requests running on the endpoint, as reported by its response.
     */
    void finished(const core::ServiceId &service,
                  const core::HostId &host,
                  RoutingResult result,
                  core::Duration latency,
                  std::uint32_t inFlight,
                  core::TimePoint now);
    /** @return Traffic statistics of the endpoint; empty if it is not known. */
    [[nodiscard]] EndpointTraffic traffic(const core::ServiceId &service, const core::HostId &host) const;
    /** @brief Removes the statistics of an endpoint that has left permanently, unless requests are in flight. */
    void forget(const core::ServiceId &service, const core::HostId &host);

private:
    static constexpr std::size_t ShardCount = 16;
    using TrafficByHost = std::unordered_map<core::HostId, EndpointTraffic>;

    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<core::ServiceId, TrafficByHost> services;
        std::unordered_map<core::ServiceId, ColdShares> coldShares; ///< Of services with an endpoint that was cold.
    };

    [[nodiscard]] Shard &shardOf(const core::ServiceId &service) noexcept;
    [[nodiscard]] const Shard &shardOf(const core::ServiceId &service) const noexcept;

    RouterHooks m_hooks;
    RouterSettings m_settings;
    std::array<Shard, ShardCount> m_shards;
};

}
