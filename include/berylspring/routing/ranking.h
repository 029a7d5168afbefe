#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/routing/candidate.h"
#include "berylspring/routing/routing_request.h"
#include "berylspring/routing/service_work.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <span>

namespace berylspring::routing {

/** @brief Settings of the ranking. */
struct RouterSettings
{
    /** Half-life of a reported load; zero ignores reports. */
    core::Duration reportHalfLife = std::chrono::milliseconds(250);
    /** Time over which a new or returning endpoint reaches its full weight. */
    core::Duration slowStart = std::chrono::seconds(5);
    RoutingPolicy policy = RoutingPolicy::Auto;
    /** Endpoints of a data centre that are drawn at random and compared when requests are routed by cost. */
    std::uint32_t comparedByCost = 3;
    /** Largest random addition to an expected time, as a share of it; 0: none. For comparisons in models. */
    double jitter = 0;
    [[nodiscard]] bool operator==(const RouterSettings &) const = default;
};

/** @brief Two independent, uniformly distributed random numbers. */
struct RandomPair
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;
};

/** @return Requests in flight from this node plus the decayed reported load, per slot; above 1 the endpoint is full. */
[[nodiscard]] double loadShare(const Candidate &candidate, const RouterSettings &settings, core::TimePoint now);

/**
 * @return Load share including the new request, divided by the slow start weight; lower is better. The new request is
 *         included so that slots and weight matter among idle endpoints too.
 */
[[nodiscard]] double score(const Candidate &candidate, const RouterSettings &settings, core::TimePoint now);

/** @return Weight of an endpoint that is new or returns from an ejection, above 0 and up to 1. */
[[nodiscard]] double slowStartWeight(const Candidate &candidate, const RouterSettings &settings, core::TimePoint now);

/**
 * @brief Second step of routing: the better of two randomly chosen eligible endpoints (power of two choices).
 *
 * Endpoints in the data centre of this node are preferred. Remote ones are considered if no local one is eligible, or
 * if all local ones are full; then a remote one must be better by RoutingRequest::remoteCost.
 * @param eligible Result of checkEligibility(); may be empty.
 * @param work Costs of the service if requests are routed by cost, see leastExpectedTime(); otherwise null.
 * @return The chosen candidate, or null if there is none.
 */
[[nodiscard]] const Candidate *rank(std::span<const Candidate> eligible,
                                    const RoutingRequest &request,
                                    const RandomPair &random,
                                    const RouterSettings &settings,
                                    core::TimePoint now,
                                    const ServiceWork *work = nullptr);

/** @brief The best endpoint of each side and the choice between them; null where there is none. */
struct FullRanking
{
    const Candidate *bestLocal = nullptr;
    const Candidate *bestRemote = nullptr;
    const Candidate *chosen = nullptr;
    [[nodiscard]] bool operator==(const FullRanking &) const = default;
};

/** @brief As rank(), but compares all eligible endpoints and uses no random numbers. */
[[nodiscard]] FullRanking rankAll(std::span<const Candidate> eligible,
                                  const RoutingRequest &request,
                                  const RouterSettings &settings,
                                  core::TimePoint now,
                                  const ServiceWork *work = nullptr);

/** @return The figure that rank() compares: expectedTime() if `work` is not null, else score(). Lower is better. */
[[nodiscard]] double rankingFigure(const Candidate &candidate,
                                   const RoutingRequest &request,
                                   const RouterSettings &settings,
                                   core::TimePoint now,
                                   const ServiceWork *work = nullptr);

/** @return Number of endpoints of each side that rank() compares for one request. */
[[nodiscard]] std::uint32_t comparedEndpoints(const RouterSettings &settings, bool isByCost) noexcept;

}
