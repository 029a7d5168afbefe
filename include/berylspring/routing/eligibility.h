#pragma once

#include "berylspring/core/time.h"
#include "berylspring/routing/candidate.h"
#include "berylspring/routing/routing_request.h"

#include <span>
#include <vector>

namespace berylspring::routing {

/** @brief The endpoints that may take a request, and the reason for each other one. */
struct EligibilityResult
{
    std::vector<Candidate> eligible;
    std::vector<Exclusion> exclusions;
};

/** @return Whether the endpoint is in a data centre to whose endpoints nothing is sent. */
[[nodiscard]] bool isEvacuated(const RoutingRequest &request, const EndpointView &view);

/**
 * @brief First step of routing: filters endpoints by hard requirements, independently of their scores.
 *
 * At most half of the endpoints that meet all other requirements are excluded because of their ejection. If more are
 * ejected, those whose ejection ends first stay eligible.
 */
[[nodiscard]] EligibilityResult
checkEligibility(const RoutingRequest &request, std::span<const Candidate> candidates, core::TimePoint now);

}
