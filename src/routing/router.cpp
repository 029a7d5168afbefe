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

const Router::TrafficByHost &Router::trafficOf(const Shard &shard, const core::ServiceId &service)
{
    static const TrafficByHost none;
    const auto known = shard.services.find(service);
    return known == shard.services.end() ? none : known->second;
}

std::vector<Candidate> Router::candidatesOf(const TrafficByHost &traffic, std::span<const EndpointView> endpoints)
{
    std::vector<Candidate> candidates;
    candidates.reserve(endpoints.size());
    for (const EndpointView &view : endpoints) {
        const auto found = traffic.find(view->host);
        candidates.push_back(Candidate{&view, found == traffic.end() ? nullptr : &found->second});
    }
    return candidates;
}

RoutingDecision
Router::choose(const RoutingRequest &request, std::span<const EndpointView> endpoints, core::TimePoint now)
{
    const RandomPair random{m_hooks.random(), m_hooks.random()};
    const bool hasCold =
        std::any_of(endpoints.begin(), endpoints.end(), [](const EndpointView &view) { return view->coldRate > 0; });
    const std::uint64_t shareRandom = hasCold ? m_hooks.random() : 0;
    RoutingDecision decision;
    EligibilityResult result;
    bool isByCost = false;
    bool hasPolicyChanged = false;
    {
        Shard &shard = shardOf(request.service);
        const std::scoped_lock lock(shard.mutex);
        result = checkEligibility(request, candidatesOf(trafficOf(shard, request.service), endpoints), now);
        if (hasCold) {
            ColdShares &shares = shard.coldShares[request.service];
            result.eligible = shares.withinShare(result.eligible, request.liveNodes, shareRandom, now);
        } else if (!shard.coldShares.empty()) {
            shard.coldShares.erase(request.service);
        }
        const ServiceWork *work = nullptr;
        if (m_settings.policy != RoutingPolicy::Load) {
            ServiceState &state = shard.works[request.service];
            isByCost = state.work.isByCost(m_settings.policy, now);
            hasPolicyChanged = isByCost != state.wasByCost;
            state.wasByCost = isByCost;
            work = isByCost ? &state.work : nullptr;
        }
        if (const Candidate *best = rank(result.eligible, request, random, m_settings, now, work)) {
            decision.host = (*best->view)->host;
            if (hasCold) {
                shard.coldShares[request.service].sent(*best->view, request.liveNodes, now);
            }
        }
    }
    if (hasPolicyChanged && m_hooks.policyChanged) {
        m_hooks.policyChanged(request.service, isByCost);
    }
    decision.exclusions = std::move(result.exclusions);
    return decision;
}

RouteExplanation
Router::explain(const RoutingRequest &request, std::span<const EndpointView> endpoints, core::TimePoint now) const
{
    RoutingState state;
    TrafficByHost traffic;
    {
        const Shard &shard = shardOf(request.service);
        const std::scoped_lock lock(shard.mutex);
        traffic = trafficOf(shard, request.service);
        if (const auto known = shard.works.find(request.service); known != shard.works.end()) {
            state.work = known->second.work;
        }
        if (const auto shares = shard.coldShares.find(request.service); shares != shard.coldShares.end()) {
            state.coldShares = shares->second;
        }
    }
    // Requests are not held up while the explanation is computed.
    state.isByCost = state.work.isByCost(m_settings.policy, now);
    return explainRoute(request, candidatesOf(traffic, endpoints), state, m_settings, now);
}

double Router::started(const core::ServiceId &service, const core::HostId &host, core::TimePoint, CostClass costClass)
{
    Shard &shard = shardOf(service);
    const std::scoped_lock lock(shard.mutex);
    const double cost = shard.works[service].work.costs().estimate(costClass).mean();
    EndpointTraffic &traffic = shard.services[service][host];
    traffic = traffic.withStarted().withWork(traffic.work().withStarted(cost));
    return cost;
}

void Router::finished(const core::ServiceId &service,
                      const core::HostId &host,
                      RoutingResult result,
                      core::Duration latency,
                      std::uint32_t inFlight,
                      core::TimePoint now,
                      const WorkReport &report)
{
    Shard &shard = shardOf(service);
    const std::scoped_lock lock(shard.mutex);
    EndpointTraffic &traffic = shard.services[service][host];
    const EndpointWork work = shard.works[service].work.record(traffic.work(), report, result, now);
    traffic = traffic.withFinished(result, latency, inFlight, now).withWork(work);
}

double Router::expectedCost(const core::ServiceId &service, CostClass costClass) const
{
    const Shard &shard = shardOf(service);
    const std::scoped_lock lock(shard.mutex);
    const auto known = shard.works.find(service);
    return known == shard.works.end() ? CostTable().overall().mean()
                                      : known->second.work.costs().estimate(costClass).mean();
}

std::vector<EndpointWorkState> Router::workStates(core::TimePoint now) const
{
    std::vector<EndpointWorkState> states;
    for (const Shard &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        for (const auto &[service, endpoints] : shard.services) {
            const auto known = shard.works.find(service);
            if (known == shard.works.end() || !known->second.work.isByCost(m_settings.policy, now)) {
                continue;
            }
            const ServiceWork &work = known->second.work;
            for (const auto &[host, traffic] : endpoints) {
                const double slowness = work.slowness(traffic.work(), now, m_settings.reportHalfLife);
                states.push_back(
                    {.service = service,
                     .host = host,
                     .cost = work.costs().overall().mean(),
                     .slowness = slowness,
                     .outstanding = traffic.work().outstanding(slowness, 0, now, m_settings.reportHalfLife),
                     .chosen = traffic.work().chosen()});
            }
        }
    }
    return states;
}

std::vector<KnownEndpoint> Router::knownEndpoints() const
{
    std::vector<KnownEndpoint> known;
    for (const Shard &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        for (const auto &[service, endpoints] : shard.services) {
            for (const auto &entry : endpoints) {
                known.push_back({service, entry.first});
            }
        }
    }
    return known;
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
        shard.works[service].work.forget(found->second.work());
        known->second.erase(found);
    }
    // The costs and the policy in force belong to the service, which may be moving to other hosts.
    if (known->second.empty()) {
        shard.services.erase(known);
    }
}

}
