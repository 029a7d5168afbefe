#include "berylspring/routing/ranking.h"

#include "berylspring/routing/endpoint_work.h"
#include "berylspring/routing/expected_time.h"
#include "routing/candidate_pools.h"

#include <algorithm>
#include <vector>

namespace berylspring::routing {

namespace {

/** Weight of an endpoint that has just appeared. Above 0, because it needs some requests to warm up. */
constexpr double MinSlowStartWeight = 0.1;
/** Endpoints of a data centre that betterOfTwo() draws. */
constexpr std::uint32_t ComparedByLoad = 2;

double decayed(double load, core::TimePoint at, const RouterSettings &settings, core::TimePoint now)
{
    return load <= 0 ? 0 : load * reportDecay(at, now, settings.reportHalfLife);
}

/**
 * Higher one of the two load reports. The report of the endpoint itself may be recent and still stuck at idle; the one
 * in the last response was counted by the endpoint's node.
 */
double decayedReportedLoad(const Candidate &candidate, const RouterSettings &settings, core::TimePoint now)
{
    const EndpointView &view = *candidate.view;
    const double reported = decayed(view->reportedLoad, view->reportedAt, settings, now);
    if (candidate.traffic == nullptr) {
        return reported;
    }
    return std::max(reported,
                    decayed(candidate.traffic->reportedLoad(), candidate.traffic->reportedAt(), settings, now));
}

double inFlightOf(const Candidate &candidate, const RouterSettings &settings, core::TimePoint now)
{
    const double own = candidate.traffic != nullptr ? candidate.traffic->inFlight() : 0;
    return own + decayedReportedLoad(candidate, settings, now);
}

/** @return The better of two randomly chosen candidates, or null if there is none. */
const Candidate *betterOfTwo(std::span<const Candidate *const> pool,
                             const RandomPair &random,
                             const RouterSettings &settings,
                             core::TimePoint now)
{
    if (pool.empty()) {
        return nullptr;
    }
    const std::size_t first = random.first % pool.size();
    if (pool.size() == 1) {
        return pool[first];
    }
    const std::size_t second = (first + 1 + random.second % (pool.size() - 1)) % pool.size();
    return score(*pool[second], settings, now) < score(*pool[first], settings, now) ? pool[second] : pool[first];
}

bool areAllFull(std::span<const Candidate *const> pool, const RouterSettings &settings, core::TimePoint now)
{
    return std::all_of(
        pool.begin(), pool.end(), [&](const Candidate *candidate) { return loadShare(*candidate, settings, now) > 1; });
}

}

double slowStartWeight(const Candidate &candidate, const RouterSettings &settings, core::TimePoint now)
{
    core::TimePoint since = (*candidate.view)->firstSeen;
    if (candidate.traffic != nullptr) {
        since = std::max(since, candidate.traffic->ejection().until());
    }
    if (now - since >= settings.slowStart) {
        return 1;
    }
    const auto age = static_cast<double>((now - since).count());
    return std::max(MinSlowStartWeight, age / static_cast<double>(settings.slowStart.count()));
}

double loadShare(const Candidate &candidate, const RouterSettings &settings, core::TimePoint now)
{
    return inFlightOf(candidate, settings, now) / std::max(1U, (*candidate.view)->slots);
}

double score(const Candidate &candidate, const RouterSettings &settings, core::TimePoint now)
{
    const double withOneMore = inFlightOf(candidate, settings, now) + 1;
    return withOneMore / std::max(1U, (*candidate.view)->slots) / slowStartWeight(candidate, settings, now);
}

const Candidate *rank(std::span<const Candidate> eligible,
                      const RoutingRequest &request,
                      const RandomPair &random,
                      const RouterSettings &settings,
                      core::TimePoint now,
                      const ServiceWork *work)
{
    if (work != nullptr) {
        return leastExpectedTime(eligible, request, random, *work, settings, now);
    }
    const detail::CandidatePools pools = detail::poolsOf(eligible, request);
    const Candidate *local = betterOfTwo(pools.local, random, settings, now);
    if (local != nullptr && !areAllFull(pools.local, settings, now)) {
        return local;
    }
    const Candidate *remote = betterOfTwo(pools.remote, random, settings, now);
    const auto ranked = [&](const Candidate *candidate) {
        return candidate == nullptr ? detail::RankedCandidate()
                                    : detail::RankedCandidate{candidate, score(*candidate, settings, now)};
    };
    return detail::preferredOf(ranked(local), ranked(remote), request);
}

FullRanking rankAll(std::span<const Candidate> eligible,
                    const RoutingRequest &request,
                    const RouterSettings &settings,
                    core::TimePoint now,
                    const ServiceWork *work)
{
    const detail::CandidatePools pools = detail::poolsOf(eligible, request);
    const auto bestOf = [&](const std::vector<const Candidate *> &pool) {
        detail::RankedCandidate best;
        for (const Candidate *candidate : pool) {
            const double figure = rankingFigure(*candidate, request, settings, now, work);
            if (best.candidate == nullptr || figure < best.figure) {
                best = {candidate, figure};
            }
        }
        return best;
    };
    const detail::RankedCandidate local = bestOf(pools.local);
    const detail::RankedCandidate remote = bestOf(pools.remote);
    const bool isLocalOnly = work == nullptr && local.candidate != nullptr && !areAllFull(pools.local, settings, now);
    return {.bestLocal = local.candidate,
            .bestRemote = remote.candidate,
            .chosen = isLocalOnly ? local.candidate : detail::preferredOf(local, remote, request)};
}

double rankingFigure(const Candidate &candidate,
                     const RoutingRequest &request,
                     const RouterSettings &settings,
                     core::TimePoint now,
                     const ServiceWork *work)
{
    if (work == nullptr) {
        return score(candidate, settings, now);
    }
    return expectedTime(candidate, work->costs().estimate(request.costClass).mean(), *work, settings, now);
}

std::uint32_t comparedEndpoints(const RouterSettings &settings, bool isByCost) noexcept
{
    return isByCost ? settings.comparedByCost : ComparedByLoad;
}

}
