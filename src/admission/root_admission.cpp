#include "berylspring/admission/root_admission.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace berylspring::admission {

namespace {

/** Classes that are shed more per second for each unit of pressure above 1, or less below 1. */
constexpr double Gain = 1.0;
/** Longest time that one step of the controller accounts for. */
constexpr double LongestStepSeconds = 0.1;
/** Routes that were not called for this time are left out of the ranks. */
constexpr core::Duration RouteMemory = std::chrono::seconds(5);
constexpr core::Duration RankInterval = std::chrono::milliseconds(200);

constexpr double AnswerMemorySeconds = 1.0;
/** Growth of the baseline per second, so that it follows a service that has become slower for good. */
constexpr double BaselineGrowth = 0.01;
/** Latency in relation to the baseline from which a route counts as affected, and at which it fully does. */
constexpr double AffectedLatency = 1.1;
constexpr double FullyAffectedLatency = 1.35;
/** A fifth of failed requests shows that a route is fully affected. */
constexpr double FailureWeight = 5;
/** Shedding relieves a route, which must not end the shedding at once. */
constexpr double SensitivityMemorySeconds = 5.0;

constexpr std::uint64_t RandomSteps = 1ULL << 32U;

double secondsBetween(core::TimePoint from, core::TimePoint to) noexcept
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

}

RootAdmission::RootAdmission(core::RandomSource random)
    : m_random(std::move(random))
{
}

RootAdmission::Rank RootAdmission::rankOf(const RootClass &root) noexcept
{
    return Rank{root.level} * (Rank{core::MaxPriority} + 1) + root.routeLevel;
}

std::shared_ptr<const std::vector<RootAdmission::Rank>> RootAdmission::ranks(core::TimePoint now)
{
    {
        const std::scoped_lock lock(m_ranksMutex);
        if (m_ranks && now - m_ranksAt < RankInterval) {
            return m_ranks;
        }
    }
    std::vector<Rank> ranks;
    m_routes.forEach([&](const core::RouteId &, const Route &route) {
        if (now - route.seenAt < RouteMemory) {
            ranks.push_back(route.rank);
        }
    });
    std::sort(ranks.begin(), ranks.end());
    ranks.erase(std::unique(ranks.begin(), ranks.end()), ranks.end());
    const std::scoped_lock lock(m_ranksMutex);
    m_ranks = std::make_shared<const std::vector<Rank>>(std::move(ranks));
    m_ranksAt = now;
    return m_ranks;
}

void RootAdmission::control(Service &service, double classes, core::TimePoint now) noexcept
{
    const double step = std::min(LongestStepSeconds, secondsBetween(service.controlledAt, now));
    service.controlledAt = std::max(service.controlledAt, now);
    const double excess = service.pressure.value(now) - 1;
    const double most = std::max(0.0, classes - 1);
    service.shedding = std::clamp(service.shedding + Gain * excess * step, 0.0, most);
}

bool RootAdmission::admits(const RootClass &root, core::TimePoint now)
{
    const Rank rank = rankOf(root);
    const double sensitivity = m_routes.update(root.route, [&](std::optional<Route> &route) {
        if (!route) {
            route.emplace();
        }
        route->rank = rank;
        route->seenAt = now;
        return route->sensitivity;
    });
    const auto ranks = this->ranks(now);
    const double shedding = m_services.update(root.service, [&](std::optional<Service> &service) {
        if (!service) {
            service.emplace();
        }
        control(*service, static_cast<double>(ranks->size()), now);
        return service->shedding;
    });
    const auto place = std::lower_bound(ranks->begin(), ranks->end(), rank) - ranks->begin();
    const double share = sensitivity * std::clamp(shedding - static_cast<double>(place), 0.0, 1.0);
    const auto threshold = static_cast<std::uint64_t>(share * static_cast<double>(RandomSteps));
    return threshold == 0 || m_random() % RandomSteps >= threshold;
}

RootAdmission::Route RootAdmission::learnt(Route route, const RootResult &result, core::TimePoint now) noexcept
{
    const double elapsed = secondsBetween(route.learntAt, now);
    const bool isFirst = route.latency == 0;
    // The first answers count alike; later each one counts by the time since the one before it.
    const double weight = isFirst ? 1 : std::clamp(1 - std::exp(-elapsed / AnswerMemorySeconds), 0.02, 1.0);
    const double latency = std::chrono::duration<double>(result.latency).count();
    route.failures += weight * ((result.isFailed ? 1.0 : 0.0) - route.failures);
    if (!result.isFailed) {
        route.latency += weight * (latency - route.latency);
        const double grown = route.baseline * (1 + BaselineGrowth * std::min(elapsed, 1.0));
        route.baseline = isFirst ? route.latency : std::min(grown, route.latency);
    }
    const double ratio = route.baseline > 0 ? route.latency / route.baseline : 1;
    const double slowness = (ratio - AffectedLatency) / (FullyAffectedLatency - AffectedLatency);
    const double observed = std::clamp(std::max(slowness, 0.0) + FailureWeight * route.failures, 0.0, 1.0);
    route.sensitivity = std::max(observed, route.sensitivity * std::exp(-elapsed / SensitivityMemorySeconds));
    route.learntAt = now;
    return route;
}

void RootAdmission::learn(const RootClass &root, const RootResult &result, core::TimePoint now)
{
    m_services.update(root.service, [&](std::optional<Service> &service) {
        if (!service) {
            service.emplace();
        }
        if (result.pressure) {
            service->pressure = service->pressure.withSample(*result.pressure, now);
        }
    });
    m_routes.update(root.route, [&](std::optional<Route> &route) {
        route = learnt(route.value_or(Route{.rank = rankOf(root), .seenAt = now}), result, now);
    });
}

double RootAdmission::shedding(const core::ServiceId &service) const
{
    const auto known = m_services.find(service);
    return known ? known->shedding : 0;
}

}
