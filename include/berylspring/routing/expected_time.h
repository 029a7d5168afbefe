#pragma once

#include "berylspring/core/time.h"
#include "berylspring/routing/candidate.h"
#include "berylspring/routing/ranking.h"
#include "berylspring/routing/routing_request.h"
#include "berylspring/routing/service_work.h"

#include <span>

namespace berylspring::routing {

/**
 * @return Expected time in seconds until the endpoint has completed one more request:
 *         `slowness x (cost + outstanding work / slots)`, divided by the slow start weight.
 * @param cost Expected cost of the request in seconds.
 */
[[nodiscard]] double expectedTime(const Candidate &candidate,
                                  double cost,
                                  const ServiceWork &work,
                                  const RouterSettings &settings,
                                  core::TimePoint now);

/**
 * @brief Second step of routing by cost: the least expected time among a few candidates drawn at random.
 *
 * The candidates are drawn for the own data centre and for the others separately. A remote one is chosen if there is no
 * local one, or if its expected time is shorter by RoutingRequest::remoteCost.
 * @return The chosen candidate, or null if there is none.
 */
[[nodiscard]] const Candidate *leastExpectedTime(std::span<const Candidate> eligible,
                                                 const RoutingRequest &request,
                                                 const RandomPair &random,
                                                 const ServiceWork &work,
                                                 const RouterSettings &settings,
                                                 core::TimePoint now);

}
