#include "berylspring/routing/ranking.h"

#include "berylspring/routing/endpoint_work.h"
#include "berylspring/routing/expected_time.h"

#include <algorithm>
#include <vector>

namespace berylspring::routing {

namespace {

/** Weight of an endpoint that has just appeared. Above 0, because it needs some requests to warm up. */
constexpr double MinSlowStartWeight = 0.1;

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
    std::vector<const Candidate *> localPool;
    std::vector<const Candidate *> remotePool;
    bool areAllLocalFull = true;
    for (const Candidate &candidate : eligible) {
        if ((*candidate.view)->dataCentre == request.dataCentre) {
            localPool.push_back(&candidate);
            areAllLocalFull = areAllLocalFull && loadShare(candidate, settings, now) > 1;
        } else {
            remotePool.push_back(&candidate);
        }
    }
    const Candidate *local = betterOfTwo(localPool, random, settings, now);
    if (local != nullptr && !areAllLocalFull) {
        return local;
    }
    const Candidate *remote = betterOfTwo(remotePool, random, settings, now);
    if (local == nullptr || remote == nullptr) {
        return local == nullptr ? remote : local;
    }
    const bool isWorthwhile = score(*remote, settings, now) * request.remoteCost < score(*local, settings, now);
    return isWorthwhile ? remote : local;
}

}
