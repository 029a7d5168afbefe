#include "berylspring/routing/explanation.h"

#include "berylspring/routing/eligibility.h"
#include "berylspring/routing/expected_time.h"

#include <algorithm>

namespace berylspring::routing {

namespace {

/** @return The endpoints that are compared. Works on a copy of the shares, so that none is used or begun. */
std::vector<Candidate> withinColdShares(const std::vector<Candidate> &eligible,
                                        const RoutingRequest &request,
                                        const ColdShares *known,
                                        core::TimePoint now)
{
    const bool hasCold = std::any_of(
        eligible.begin(), eligible.end(), [](const Candidate &candidate) { return (*candidate.view)->coldRate > 0; });
    if (!hasCold) {
        return eligible;
    }
    ColdShares shares = known != nullptr ? *known : ColdShares();
    // A share that has not begun is full only later, whatever moment is drawn. Any number serves for that.
    return shares.withinShare(eligible, request.liveNodes, 0, now);
}

bool holds(const std::vector<Candidate> &candidates, const core::HostId &host)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
        return (*candidate.view)->host == host;
    });
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
    for (const Candidate &candidate : candidates) {
        const EndpointView &view = *candidate.view;
        if (view->service != request.service) {
            continue;
        }
        const auto excluded = std::find_if(result.exclusions.begin(),
                                           result.exclusions.end(),
                                           [&](const Exclusion &exclusion) { return exclusion.host == view->host; });
        const bool isEligible = excluded == result.exclusions.end();
        const TimeEstimate estimate = estimateTime(candidate, explanation.cost, state.work, settings, now);
        explanation.endpoints.push_back(
            {.host = view->host,
             .dataCentre = view->dataCentre,
             .exclusion = isEligible ? std::nullopt : std::optional(excluded->reason),
             .isBeyondColdShare = isEligible && !holds(compared, view->host),
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
