#include "integration/harness/deployment.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

#include <boost/json/object.hpp>

namespace berylspring::test {

namespace {

const std::vector<std::string> DataCentres{"dc-a", "dc-b", "dc-c"};
const std::vector<std::string> Services{"front", "booking", "dispatch", "roster"};
/** The deepest service is the bottleneck of a chain; the others have three times its slots. */
constexpr std::size_t ShallowSlotFactor = 3;
constexpr double BurstSeconds = 0.2; ///< Burst of a limit, in seconds of its rate.

/** @return Mean number of "roster" calls per call of a caller. */
double rosterCallsPerCall()
{
    double calls = 0;
    for (const CallKind &kind : Deployment::kinds()) {
        calls += kind.target.find("/roster") == std::string::npos ? 0 : kind.share;
    }
    return calls;
}

}

DeploymentSize deploymentSize(const std::string &name, double scale)
{
    const auto slots = [scale](double count) {
        return static_cast<std::size_t>(std::max(1L, std::lround(count * scale)));
    };
    // Slots are the midpoints of the ranges on the design page; endpoints per service are spread over 3 data centres.
    if (name == "abay") {
        return DeploymentSize({.name = name, .endpointsPerService = 1, .slots = slots(42)});
    }
    if (name == "ozolzars") {
        return DeploymentSize({.name = name, .endpointsPerService = 2, .slots = slots(55)});
    }
    throw std::invalid_argument("unknown size " + name + ": must be abay or ozolzars");
}

Deployment::Deployment(DeploymentSize size)
    : m_size(std::move(size))
{
}

const std::vector<Tenant> &Deployment::tenants()
{
    static const std::vector<Tenant> all{{"large-1", 0.3},
                                         {"large-2", 0.22},
                                         {"middle-1", 0.14},
                                         {"middle-2", 0.12},
                                         {"small-1", 0.08},
                                         {"small-2", 0.06},
                                         {"small-3", 0.05},
                                         {"small-4", 0.03}};
    return all;
}

const std::vector<CallKind> &Deployment::kinds()
{
    static const std::vector<CallKind> all{
        {"history", "GET", "/front/history?nested=/roster/lookup", 0.6, 3, 1},
        {"book", "POST", "/booking/book?nested=/dispatch/place;/roster/lookup", 0.3, 6, 10},
        {"list", "GET", "/front/list", 0.1, 1, 0.2}};
    return all;
}

double Deployment::capacityPerSecond() const
{
    const auto endpoints = static_cast<double>(DataCentres.size() * m_size->endpointsPerService);
    return endpoints * static_cast<double>(m_size->slots) / (m_size->serviceMs / 1000) / rosterCallsPerCall();
}

FleetConfig Deployment::fleetConfig(bool areControlsOn, const std::string &reportLoad) const
{
    std::vector<EndpointConfig> endpoints;
    for (const std::string &service : Services) {
        const bool isDeep = service == "roster";
        for (std::size_t i = 0; i < m_size->endpointsPerService; ++i) {
            endpoints.push_back({.service = service,
                                 .slots = m_size->slots * (isDeep ? 1 : ShallowSlotFactor),
                                 .serviceMs = isDeep ? m_size->serviceMs : m_size->serviceMs / 5,
                                 .jitter = 0.5,
                                 .reportLoad = i % 2 == 0 ? reportLoad : "on",
                                 .extraOptions = {"--no-header-record"}});
        }
    }
    return FleetConfig({.dataCentres = DataCentres, .endpoints = std::move(endpoints), .areControlsOn = areControlsOn});
}

void Deployment::declare(Fleet &fleet, double ordinaryRate) const
{
    for (const Tenant &tenant : tenants()) {
        const double limit = limitOf(tenant, ordinaryRate);
        fleet.addWorkspace(tenant.name, limit, std::max(limit * BurstSeconds, 10.0), tenant.share * 10);
    }
    for (const CallKind &kind : kinds()) {
        const std::string path = kind.target.substr(0, kind.target.find('?'));
        const std::string service = path.substr(1, path.find('/', 1) - 1);
        fleet.addRoute(kind.name, {{"prefix", path}, {"service", service}}, kind.level, kind.worth);
    }
    // Nested calls inherit the priority of their root.
    fleet.addRoute("place", {{"prefix", "/dispatch"}, {"service", "dispatch"}}, 0);
    fleet.addRoute("lookup", {{"prefix", "/roster"}, {"service", "roster"}}, 0);
    fleet.waitUntilServing({"/front/list", "/booking/book", "/dispatch/x", "/roster/x"}, "key-large-1");
}

double Deployment::limitOf(const Tenant &tenant, double ordinaryRate) const
{
    return tenant.share * ordinaryRate * m_size->limitFactor;
}

std::vector<std::size_t> Deployment::nodesOf(const std::string &service) const
{
    const std::size_t perDataCentre = Services.size() * m_size->endpointsPerService;
    const auto position =
        static_cast<std::size_t>(std::find(Services.begin(), Services.end(), service) - Services.begin());
    std::vector<std::size_t> nodes;
    for (std::size_t dataCentre = 0; dataCentre < DataCentres.size(); ++dataCentre) {
        for (std::size_t i = 0; i < m_size->endpointsPerService; ++i) {
            nodes.push_back(dataCentre * perDataCentre + position * m_size->endpointsPerService + i);
        }
    }
    return nodes;
}

}
