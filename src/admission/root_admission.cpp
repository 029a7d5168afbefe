#include "berylspring/admission/root_admission.h"

#include "admission/decay.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace berylspring::admission {

namespace {

/**
 * Gains of the controller of the admitted share: relative decrease per second and relative immediate decrease for each
 * unit of pressure above 1, and relative increase per second without pressure. Steps are proportional to the admitted
 * share, so that the controller responds alike when a fifth and when four fifths of the capacity are missing.
 */
constexpr double IntegralGain = 0.2;
constexpr double ProportionalGain = 0.4;
constexpr double RecoveryGain = 1.0;
/** Some requests are always sent, because only their responses show that the overload is over. */
constexpr double MaxShedShare = 0.98;
/** Upper bound on the time step of the controller, as a node may see few requests of a service. */
constexpr double MaxStepSeconds = 0.5;
/** Time constant of the smoothed pressure, and bounds on the weight of one response, which may be an outlier. */
constexpr double PressureTimeConstantSeconds = 0.15;
constexpr double MinSampleWeight = 0.1;
constexpr double MaxSampleWeight = 0.5;
constexpr double SilenceTimeConstantSeconds = 1.0;
constexpr double DemandTimeConstantSeconds = 2.0;
/** Ranks with less demand, in requests, are left out of the shares. */
constexpr double MinDemand = 0.01;
constexpr core::Duration SharesUpdateInterval = std::chrono::milliseconds(200);

/** Short, because a burst fills the queue of a deep service in less than a second. */
constexpr double ResultTimeConstantSeconds = 0.3;
/** Lower bound on the weight of one result, so that results in quick succession still count. */
constexpr double MinResultWeight = 0.02;
/** Relative growth of the baseline per second, so that it adapts to a service that has become permanently slower. */
constexpr double BaselineGrowth = 0.01;
/** Ratios of latency to baseline at which a route starts to count as affected, and counts as fully affected. */
constexpr double AffectedLatency = 1.1;
constexpr double FullyAffectedLatency = 1.35;
/** A route with a fifth of failed requests counts as fully affected. */
constexpr double FailureWeight = 5;
/** Slow decay: shedding makes a route faster again, and that must not end the shedding at once. */
constexpr double SensitivityTimeConstantSeconds = 5.0;

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

std::shared_ptr<const std::vector<RootAdmission::RankDemand>> RootAdmission::shares(core::TimePoint now)
{
    if (auto recent = recentShares(now)) {
        return recent;
    }
    auto shares = computeShares(now);
    const std::scoped_lock lock(m_sharesMutex);
    m_shares = std::move(shares);
    m_sharesAt = now;
    return m_shares;
}

std::shared_ptr<const std::vector<RootAdmission::RankDemand>> RootAdmission::recentShares(core::TimePoint now) const
{
    const std::scoped_lock lock(m_sharesMutex);
    return m_shares && now - m_sharesAt < SharesUpdateInterval ? m_shares : nullptr;
}

std::shared_ptr<const std::vector<RootAdmission::RankDemand>> RootAdmission::peekShares(core::TimePoint now) const
{
    auto recent = recentShares(now);
    return recent ? recent : computeShares(now);
}

std::shared_ptr<const std::vector<RootAdmission::RankDemand>>
RootAdmission::computeShares(core::TimePoint now, std::map<Rank, double> added) const
{
    std::map<Rank, Demand> demands;
    double sum = 0;
    const auto count = [&](Rank rank, Demand demand) {
        if (const auto node = added.extract(rank)) {
            demand.requests += node.mapped();
        }
        if (demand.requests >= MinDemand) {
            demands.emplace(rank, demand);
            sum += demand.requests;
        }
    };
    m_demands.forEach([&](Rank rank, const Demand &demand) { count(rank, decayed(demand, now)); });
    while (!added.empty()) {
        count(added.begin()->first, Demand());
    }
    std::vector<RankDemand> shares;
    double below = 0;
    for (const auto &[rank, demand] : demands) {
        shares.push_back({.rank = rank,
                          .below = below,
                          .own = demand.requests / sum,
                          .promised = demand.promised / demand.requests});
        below += demand.requests / sum;
    }
    return std::make_shared<const std::vector<RankDemand>>(std::move(shares));
}

RootAdmission::Demand RootAdmission::decayed(const Demand &demand, core::TimePoint now) noexcept
{
    const double factor = decayOver(now - demand.at, DemandTimeConstantSeconds);
    return {.requests = demand.requests * factor, .promised = demand.promised * factor, .at = now};
}

std::optional<RootAdmission::RankDemand> RootAdmission::demandOf(Rank rank, core::TimePoint now)
{
    return demandIn(*shares(now), rank);
}

std::optional<RootAdmission::RankDemand> RootAdmission::demandIn(const std::vector<RankDemand> &shares, Rank rank)
{
    const auto place = std::lower_bound(
        shares.begin(), shares.end(), rank, [](const RankDemand &entry, Rank wanted) { return entry.rank < wanted; });
    return place == shares.end() || place->rank != rank ? std::nullopt : std::optional(*place);
}

double RootAdmission::RankDemand::shareToShed(double shedding) const noexcept
{
    return std::clamp((shedding - below) / own, 0.0, MaxShedShare);
}

double RootAdmission::shareOfNewcomers(double share, double promised) noexcept
{
    if (promised <= 0) {
        return share;
    }
    const double admitted = std::max(0.0, 1 - share - promised) / std::max(1 - MaxShedShare, 1 - promised);
    return std::clamp(1 - admitted, share, std::max(share, MaxShedShare));
}

double RootAdmission::shareOf(const RankDemand &demand, double shedding, double sensitivity) noexcept
{
    return sensitivity * shareOfNewcomers(demand.shareToShed(shedding), demand.promised);
}

WorkspaceShare RootAdmission::withProbes(const WorkspaceShare &own) noexcept
{
    return {.shed = std::min(own.shed, MaxShedShare), .promised = own.promised};
}

RootAdmission::Service RootAdmission::withPressure(Service service, double sample, core::TimePoint now) noexcept
{
    const double elapsed = std::min(MaxStepSeconds, secondsBetween(service.updatedAt, now));
    const double weight =
        std::clamp(1 - std::exp(-elapsed / PressureTimeConstantSeconds), MinSampleWeight, MaxSampleWeight);
    service.pressure += weight * (std::clamp(sample, 0.0, Pressure::MaxSample) - service.pressure);
    const double excess = service.pressure - 1;
    const double rate = excess * (excess > 0 ? IntegralGain : RecoveryGain);
    service.admitted = std::clamp(service.admitted * std::exp(-rate * elapsed), 1 - MaxShedShare, 1.0);
    service.updatedAt = std::max(service.updatedAt, now);
    return service;
}

double RootAdmission::shareToShed(const Service &service, core::TimePoint now) noexcept
{
    // The state holds until further responses are overdue, and decays after that.
    const double silence = std::max(0.0, secondsBetween(service.updatedAt, now) - MaxStepSeconds);
    const double decay = std::exp(-silence / SilenceTimeConstantSeconds);
    const double excess = std::max(0.0, service.pressure * decay - 1);
    const double admitted = 1 - decay * (1 - service.admitted);
    return std::min(MaxShedShare, 1 - admitted / (1 + ProportionalGain * excess));
}

RootDecision RootAdmission::decide(const RootRequest &request, core::TimePoint now)
{
    const RootClass &root = request.root;
    const bool hasPromise = request.hasPromise;
    const Rank rank = rankOf(root);
    const double sensitivity = m_routes.update(root.route, [&](std::optional<Route> &route) {
        if (!route) {
            route.emplace();
        }
        return route->sensitivity;
    });
    m_demands.update(rank, [&](std::optional<Demand> &demand) {
        // Shedding requests that do not reach the bottleneck would not relieve it, so they do not count as demand.
        const Demand before = demand ? decayed(*demand, now) : Demand();
        demand = Demand{.requests = sensitivity + before.requests,
                        .promised = (hasPromise ? sensitivity : 0) + before.promised,
                        .at = now};
    });
    std::optional<WorkspaceDemand> workspace;
    if (request.load && sensitivity > 0) {
        const double work = sensitivity * request.load->cost;
        workspace = m_workspaces.recordRequest(rank, *request.load, work, hasPromise, now);
    }
    const double shedding = m_services.update(root.service, [&](std::optional<Service> &service) {
        if (!service) {
            service.emplace();
        }
        return shareToShed(*service, now);
    });
    if (shedding <= 0 || sensitivity <= 0) {
        return {};
    }
    const std::optional<RankDemand> demand = demandOf(rank, now);
    if (!demand || (hasPromise && !demand->isExceededBy(shedding))) {
        return {};
    }
    const auto isShed = [&](double share) {
        return m_random() % RandomSteps < static_cast<std::uint64_t>(share * static_cast<double>(RandomSteps));
    };
    // Of a rank that is shed as a whole, what is still sent are probes, which need no fair shares.
    if (!workspace || demand->isExceededBy(shedding)) {
        return {.isAdmitted = !isShed(shareOf(*demand, shedding, sensitivity))};
    }
    // The sensitivity lowers the share before it is divided; afterwards, it would spare the largest workspace.
    const double share = sensitivity * demand->shareToShed(shedding);
    const WorkspaceShare own = withProbes(m_workspaces.shareOf(rank, *workspace, share, now));
    return {.isAdmitted = !isShed(shareOfNewcomers(own.shed, own.promised)), .workspaceShedShare = own.shed};
}

double RootAdmission::shedShare(const RootRequest &request, core::TimePoint now) const
{
    const RootClass &root = request.root;
    const auto route = m_routes.find(root.route);
    const double sensitivity = route ? route->sensitivity : 0;
    const double shedding = this->shedding(root.service, now);
    if (shedding <= 0 || sensitivity <= 0) {
        return 0;
    }
    // decide() counts the request before it decides, which matters for a rank without recent demand.
    const Rank rank = rankOf(root);
    const std::optional<RankDemand> demand = demandIn(*computeShares(now, {{rank, sensitivity}}), rank);
    if (!demand || !request.load || demand->isExceededBy(shedding)) {
        return demand ? shareOf(*demand, shedding, sensitivity) : 0;
    }
    WorkspaceLoad load = *request.load;
    load.cost *= sensitivity;
    const double share = sensitivity * demand->shareToShed(shedding);
    const WorkspaceShare own = withProbes(m_workspaces.shareOf(rank, load, share, now));
    return shareOfNewcomers(own.shed, own.promised);
}

bool RootAdmission::shedsMoreImportant(const RootClass &root, core::TimePoint now)
{
    const double shedding = this->shedding(root.service, now);
    if (shedding <= 0) {
        return false;
    }
    const std::optional<RankDemand> demand = demandOf(rankOf(root), now);
    return demand && demand->isExceededBy(shedding);
}

RootAdmission::Route RootAdmission::withResult(Route route, const RootResult &result, core::TimePoint now) noexcept
{
    const double elapsed = secondsBetween(route.updatedAt, now);
    const bool isFirst = route.latency == 0;
    // The first response sets the averages; later ones are weighted by the time since the previous response.
    const double weight =
        isFirst ? 1 : std::clamp(1 - std::exp(-elapsed / ResultTimeConstantSeconds), MinResultWeight, 1.0);
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
    route.sensitivity = std::max(observed, route.sensitivity * std::exp(-elapsed / SensitivityTimeConstantSeconds));
    route.updatedAt = now;
    return route;
}

void RootAdmission::recordResult(const RootClass &root, const RootResult &result, core::TimePoint now)
{
    m_services.update(root.service, [&](std::optional<Service> &service) {
        if (!service) {
            service.emplace();
        }
        if (result.pressure) {
            service = withPressure(*service, *result.pressure, now);
        }
    });
    m_routes.update(root.route,
                    [&](std::optional<Route> &route) { route = withResult(route.value_or(Route()), result, now); });
}

double RootAdmission::shedding(const core::ServiceId &service, core::TimePoint now) const
{
    const auto known = m_services.find(service);
    return known ? shareToShed(*known, now) : 0;
}

double RootAdmission::highestShedding(core::TimePoint now) const
{
    double highest = 0;
    m_services.forEach([&](const core::ServiceId &, const Service &service) {
        highest = std::max(highest, shareToShed(service, now));
    });
    return highest;
}

double RootAdmission::highestWorkspaceShedding(core::TimePoint now) const
{
    const double shedding = highestShedding(now);
    double sensitivity = 0;
    m_routes.forEach(
        [&](const core::RouteId &, const Route &route) { sensitivity = std::max(sensitivity, route.sensitivity); });
    double highest = 0;
    if (shedding > 0) {
        const auto shares = peekShares(now);
        for (const RankDemand &demand : *shares) {
            if (!demand.isExceededBy(shedding)) {
                highest = std::max(
                    highest, m_workspaces.highestShare(demand.rank, sensitivity * demand.shareToShed(shedding), now));
            }
        }
    }
    return std::min(highest, MaxShedShare);
}

}
