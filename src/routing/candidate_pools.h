#pragma once

#include "berylspring/routing/candidate.h"
#include "berylspring/routing/routing_request.h"

#include <limits>
#include <span>
#include <vector>

namespace berylspring::routing::detail {

/** @brief Candidates by the side on which they are, seen from the node that routes. */
struct CandidatePools
{
    std::vector<const Candidate *> local;
    std::vector<const Candidate *> remote;
};

/** @brief A candidate and its score or expected time; lower is better. */
struct RankedCandidate
{
    const Candidate *candidate = nullptr;
    double figure = std::numeric_limits<double>::infinity();
};

[[nodiscard]] inline CandidatePools poolsOf(std::span<const Candidate> eligible, const RoutingRequest &request)
{
    CandidatePools pools;
    for (const Candidate &candidate : eligible) {
        auto &pool = (*candidate.view)->dataCentre == request.dataCentre ? pools.local : pools.remote;
        pool.push_back(&candidate);
    }
    return pools;
}

/** @return The remote one if there is no local one, or if it is better by RoutingRequest::remoteCost. May be null. */
[[nodiscard]] inline const Candidate *
preferredOf(const RankedCandidate &local, const RankedCandidate &remote, const RoutingRequest &request)
{
    if (local.candidate == nullptr || remote.candidate == nullptr) {
        return local.candidate == nullptr ? remote.candidate : local.candidate;
    }
    return remote.figure * request.remoteCost < local.figure ? remote.candidate : local.candidate;
}

}
