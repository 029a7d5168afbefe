#pragma once

#include "berylspring/config/resource.h"
#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"

#include <cstdint>
#include <vector>

namespace berylspring::routing {

/**
 * @brief Distributes the requests of each route over its services in proportion to their weights. Thread-safe.
 *
 * Smooth weighted round robin: after any number of requests, the deviation of each service from its exact share is less
 * than the number of services. A random choice has no such bound.
 */
class WeightedSplitter
{
public:
    /** @param shares Services of the route with their weights, at least one of them positive. */
    [[nodiscard]] core::ServiceId choose(const core::RouteId &route, const std::vector<config::ServiceShare> &shares);

private:
    struct Split
    {
        std::vector<config::ServiceShare> shares;
        std::vector<std::int64_t> credits; ///< Current weights of the algorithm; the highest one is chosen next.
    };
    core::ShardedMap<core::RouteId, Split> m_splits;
};

}
