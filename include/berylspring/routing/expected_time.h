#pragma once

#include "berylspring/core/time.h"
#include "berylspring/routing/candidate.h"
#include "berylspring/routing/ranking.h"
#include "berylspring/routing/routing_request.h"
#include "berylspring/routing/service_work.h"

#include <optional>
#include <span>

namespace berylspring::routing {

/** @brief Expected time of one more request on an endpoint, with the figures that it follows from. */
struct TimeEstimate
{
    double slowness = 1;
    double outstanding = 0; ///< Outstanding work in seconds at slowness 1.
    std::optional<core::TimePoint> reportedAt; ///< Of the report that the outstanding work is based on.
    double seconds = 0; ///< See expectedTime().
    [[nodiscard]] bool operator==(const TimeEstimate &) const = default;
};

/** @param cost Expected cost of the request in seconds. */
[[nodiscard]] TimeEstimate estimateTime(const Candidate &candidate,
                                        double cost,
                                        const ServiceWork &work,
                                        const RouterSettings &settings,
                                        core::TimePoint now);

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
