#pragma once

#include "berylspring/config/resource.h"
#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"

#include <cstdint>
#include <vector>

namespace berylspring::routing {

/**
 * @brief Divides the requests of each route among its services in proportion to their weights. Thread-safe.
 *
 * Smooth weighted round robin: after any number of requests each service is less than one request per service off
 * its exact share, which a random choice is not.
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
        std::vector<std::int64_t> credits; ///< Share that a service is owed, in weights; the highest is chosen next.
    };
    core::ShardedMap<core::RouteId, Split> m_splits;
};

}
