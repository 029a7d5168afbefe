#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
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

/** @brief What the router needs from its surroundings. Not called under a lock. */
struct RouterHooks
{
    core::RandomSource random;
};

/**
 * @brief Chooses endpoints and keeps what this node has seen of them. Thread-safe; sharded by service.
 *
 * Each started() is followed by one finished() for the same service and host.
 */
class Router
{
public:
    explicit Router(RouterHooks hooks, RouterSettings settings = {});

    /**
     * @param endpoints Endpoints of the service; those of other services are passed over.
     * @return The chosen host, or the reason for each endpoint.
     */
    [[nodiscard]] RoutingDecision
    choose(const RoutingRequest &request, std::span<const EndpointView> endpoints, core::TimePoint now);
    /** @brief A request was sent to the endpoint. */
    void started(const core::ServiceId &service, const core::HostId &host, core::TimePoint now);
    /**
     * @brief The request has ended.
     * @param latency From started() to now.
     * @param inFlight Requests running on the endpoint, by its response.
     */
    void finished(const core::ServiceId &service,
                  const core::HostId &host,
                  RoutingResult result,
                  core::Duration latency,
                  std::uint32_t inFlight,
                  core::TimePoint now);
    /** @return What this node has seen of the endpoint. */
    [[nodiscard]] EndpointTraffic traffic(const core::ServiceId &service, const core::HostId &host) const;
    /** @brief Forgets an endpoint that has left for good, unless requests are in flight. */
    void forget(const core::ServiceId &service, const core::HostId &host);

private:
    static constexpr std::size_t ShardCount = 16;
    using TrafficByHost = std::unordered_map<core::HostId, EndpointTraffic>;

    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<core::ServiceId, TrafficByHost> services;
    };

    [[nodiscard]] Shard &shardOf(const core::ServiceId &service) noexcept;
    [[nodiscard]] const Shard &shardOf(const core::ServiceId &service) const noexcept;

    RouterHooks m_hooks;
    RouterSettings m_settings;
    std::array<Shard, ShardCount> m_shards;
};

}
