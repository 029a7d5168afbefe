#include "berylspring/routing/expected_time.h"

#include "routing/candidate_pools.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace berylspring::routing {

namespace {

/** Draws candidates without replacement and returns the one with the least time. Reorders the pool. */
detail::RankedCandidate bestOfDrawn(std::vector<const Candidate *> &pool,
                                    std::uint64_t seed,
                                    double cost,
                                    const ServiceWork &work,
                                    const RouterSettings &settings,
                                    core::TimePoint now)
{
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus));
    std::uniform_real_distribution<double> jitter(1, 1 + settings.jitter);
    detail::RankedCandidate best;
    const std::size_t count = std::min<std::size_t>(settings.comparedByCost, pool.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(pool[i], pool[std::uniform_int_distribution<std::size_t>(i, pool.size() - 1)(random)]);
        double seconds = expectedTime(*pool[i], cost, work, settings, now);
        if (settings.jitter > 0) {
            seconds *= jitter(random);
        }
        if (best.candidate == nullptr || seconds < best.figure) {
            best = {pool[i], seconds};
        }
    }
    return best;
}

}

TimeEstimate estimateTime(const Candidate &candidate,
                          double cost,
                          const ServiceWork &work,
                          const RouterSettings &settings,
                          core::TimePoint now)
{
    const EndpointView &view = *candidate.view;
    const EndpointWork endpoint = candidate.traffic != nullptr ? candidate.traffic->work() : EndpointWork();
    const double slowness = work.slowness(endpoint, now, settings.reportHalfLife);
    // All entries see the same view, so that a node with a recent report of its own does not follow it: otherwise many
    // entries send to the same endpoint after the view has changed.
    const bool isViewNeeded = view->reportedLoad > 0 && !endpoint.hasRecentReport(now, settings.reportHalfLife);
    const double viewed = isViewNeeded
                              ? view->reportedLoad * reportDecay(view->reportedAt, now, settings.reportHalfLife)
                                    * work.costs().overall().mean()
                              : 0;
    const double outstanding = endpoint.outstanding(slowness, viewed, now, settings.reportHalfLife);
    const double waiting = std::max(outstanding / std::max(1U, view->slots),
                                    endpoint.observedWait(now, settings.reportHalfLife) / slowness);
    const core::TimePoint reportedAt = isViewNeeded ? view->reportedAt : endpoint.reportedAt();
    return {.slowness = slowness,
            .outstanding = outstanding,
            .reportedAt = reportedAt != core::TimePoint() ? std::optional(reportedAt) : std::nullopt,
            .seconds = slowness * (cost + waiting) / slowStartWeight(candidate, settings, now)};
}

double expectedTime(const Candidate &candidate,
                    double cost,
                    const ServiceWork &work,
                    const RouterSettings &settings,
                    core::TimePoint now)
{
    return estimateTime(candidate, cost, work, settings, now).seconds;
}

const Candidate *leastExpectedTime(std::span<const Candidate> eligible,
                                   const RoutingRequest &request,
                                   const RandomPair &random,
                                   const ServiceWork &work,
                                   const RouterSettings &settings,
                                   core::TimePoint now)
{
    detail::CandidatePools pools = detail::poolsOf(eligible, request);
    const double cost = work.costs().estimate(request.costClass).mean();
    const detail::RankedCandidate local = bestOfDrawn(pools.local, random.first, cost, work, settings, now);
    const detail::RankedCandidate remote = bestOfDrawn(pools.remote, random.second, cost, work, settings, now);
    return detail::preferredOf(local, remote, request);
}

}
