#include "berylspring/routing/explanation.h"

#include "berylspring/routing/eligibility.h"
#include "berylspring/routing/expected_time.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace berylspring::routing {

namespace {

/** @return The endpoints that are compared. Takes a copy of the shares, so that none is used or begun. */
std::vector<Candidate> withinColdShares(const std::vector<Candidate> &eligible,
                                        const RoutingRequest &request,
                                        ColdShares shares,
                                        core::TimePoint now)
{
    const bool hasCold = std::any_of(
        eligible.begin(), eligible.end(), [](const Candidate &candidate) { return (*candidate.view)->coldRate > 0; });
    if (!hasCold) {
        return eligible;
    }
    // A share that has not begun is full only later, whatever moment is drawn. Any number serves for that.
    return shares.withinShare(eligible, request.liveNodes, 0, now);
}

std::optional<core::HostId> hostOf(const Candidate *candidate)
{
    return candidate == nullptr ? std::nullopt : std::optional((*candidate->view)->host);
}

}

RouteExplanation explainRoute(const RoutingRequest &request,
                              std::span<const Candidate> candidates,
                              const RoutingState &state,
                              const RouterSettings &settings,
                              core::TimePoint now)
{
    const EligibilityResult result = checkEligibility(request, candidates, now);
    const std::vector<Candidate> compared = withinColdShares(result.eligible, request, state.coldShares, now);
    const ServiceWork *work = state.isByCost ? &state.work : nullptr;
    const FullRanking ranking = rankAll(compared, request, settings, now, work);
    RouteExplanation explanation{.service = request.service,
                                 .isByCost = state.isByCost,
                                 .cost = state.work.costs().estimate(request.costClass).mean(),
                                 .compared = comparedEndpoints(settings, state.isByCost),
                                 .bestLocal = hostOf(ranking.bestLocal),
                                 .bestRemote = hostOf(ranking.bestRemote),
                                 .chosen = hostOf(ranking.chosen)};
    std::unordered_map<core::HostId, ExclusionReason> exclusions;
    for (const Exclusion &exclusion : result.exclusions) {
        exclusions.emplace(exclusion.host, exclusion.reason);
    }
    std::unordered_set<core::HostId> comparedHosts;
    for (const Candidate &candidate : compared) {
        comparedHosts.insert((*candidate.view)->host);
    }
    for (const Candidate &candidate : candidates) {
        const EndpointView &view = *candidate.view;
        if (view->service != request.service) {
            continue;
        }
        const auto excluded = exclusions.find(view->host);
        const bool isEligible = excluded == exclusions.end();
        const TimeEstimate estimate = estimateTime(candidate, explanation.cost, state.work, settings, now);
        explanation.endpoints.push_back(
            {.host = view->host,
             .dataCentre = view->dataCentre,
             .exclusion = isEligible ? std::nullopt : std::optional(excluded->second),
             .isBeyondColdShare = isEligible && !comparedHosts.contains(view->host),
             .slots = view->slots,
             .slowness = estimate.slowness,
             .outstanding = estimate.outstanding,
             .outstandingAge = estimate.reportedAt ? std::optional(now - *estimate.reportedAt) : std::nullopt,
             .inFlight = candidate.traffic != nullptr ? candidate.traffic->inFlight() : 0,
             .coldRate = view->coldRate,
             .figure = rankingFigure(candidate, request, settings, now, work)});
    }
    return explanation;
}

}
