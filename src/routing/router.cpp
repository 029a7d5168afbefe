#include "berylspring/routing/router.h"

#include "berylspring/routing/eligibility.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace berylspring::routing {

Router::Router(RouterHooks hooks, RouterSettings settings)
    : m_hooks(std::move(hooks))
    , m_settings(settings)
{
}

Router::Shard &Router::shardOf(const core::ServiceId &service) noexcept
{
    return m_shards[std::hash<core::ServiceId>{}(service) % ShardCount];
}

const Router::Shard &Router::shardOf(const core::ServiceId &service) const noexcept
{
    return m_shards[std::hash<core::ServiceId>{}(service) % ShardCount];
}

RoutingDecision
Router::choose(const RoutingRequest &request, std::span<const EndpointView> endpoints, core::TimePoint now)
{
    const RandomPair random{m_hooks.random(), m_hooks.random()};
    const bool hasCold =
        std::any_of(endpoints.begin(), endpoints.end(), [](const EndpointView &view) { return view->coldRate > 0; });
    const std::uint64_t shareRandom = hasCold ? m_hooks.random() : 0;
    std::vector<Candidate> candidates;
    candidates.reserve(endpoints.size());
    Shard &shard = shardOf(request.service);
    const std::scoped_lock lock(shard.mutex);
    const auto service = shard.services.find(request.service);
    for (const EndpointView &view : endpoints) {
        const EndpointTraffic *traffic = nullptr;
        if (service != shard.services.end()) {
            const auto found = service->second.find(view->host);
            traffic = found == service->second.end() ? nullptr : &found->second;
        }
        candidates.push_back(Candidate{&view, traffic});
    }
    EligibilityResult result = checkEligibility(request, candidates, now);
    if (hasCold) {
        ColdShares &shares = shard.coldShares[request.service];
        result.eligible = shares.withinShare(result.eligible, request.liveNodes, shareRandom, now);
    } else if (!shard.coldShares.empty()) {
        shard.coldShares.erase(request.service);
    }
    RoutingDecision decision;
    if (const Candidate *best = rank(result.eligible, request, random, m_settings, now)) {
        decision.host = (*best->view)->host;
        if (hasCold) {
            shard.coldShares[request.service].sent(*best->view, request.liveNodes, now);
        }
    }
    decision.exclusions = std::move(result.exclusions);
    return decision;
}

void Router::started(const core::ServiceId &service, const core::HostId &host, core::TimePoint)
{
    Shard &shard = shardOf(service);
    const std::scoped_lock lock(shard.mutex);
    EndpointTraffic &traffic = shard.services[service][host];
    traffic = traffic.withStarted();
}

void Router::finished(const core::ServiceId &service,
                      const core::HostId &host,
                      RoutingResult result,
                      core::Duration latency,
                      std::uint32_t inFlight,
                      core::TimePoint now)
{
    Shard &shard = shardOf(service);
    const std::scoped_lock lock(shard.mutex);
    EndpointTraffic &traffic = shard.services[service][host];
    traffic = traffic.withFinished(result, latency, inFlight, now);
}

EndpointTraffic Router::traffic(const core::ServiceId &service, const core::HostId &host) const
{
    const Shard &shard = shardOf(service);
    const std::scoped_lock lock(shard.mutex);
    const auto known = shard.services.find(service);
    if (known == shard.services.end()) {
        return {};
    }
    const auto found = known->second.find(host);
    return found == known->second.end() ? EndpointTraffic{} : found->second;
}

void Router::forget(const core::ServiceId &service, const core::HostId &host)
{
    Shard &shard = shardOf(service);
    const std::scoped_lock lock(shard.mutex);
    if (const auto shares = shard.coldShares.find(service); shares != shard.coldShares.end()) {
        shares->second.forget(host);
    }
    const auto known = shard.services.find(service);
    if (known == shard.services.end()) {
        return;
    }
    const auto found = known->second.find(host);
    if (found != known->second.end() && found->second.inFlight() == 0) {
        known->second.erase(found);
    }
    if (known->second.empty()) {
        shard.services.erase(known);
    }
}

}
