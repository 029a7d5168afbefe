#include "integration/harness/bench_scenario.h"

#include <stdexcept>

#include <boost/json/object.hpp>

namespace berylspring::test {

namespace {

constexpr double SlowdownFactor = 4; ///< Of the service time; the service runs at a quarter of its speed.

void scaleDeepServiceTime(Fleet &fleet, const Deployment &deployment, double factor)
{
    for (const std::size_t node : deployment.nodesOf("roster")) {
        if (fleet.node(node).endpoint && !fleet.node(node).endpoint->poll()) {
            fleet.controlEndpoint(node, {{"service_ms", deployment.size()->serviceMs * factor}});
        }
    }
}

void slowDown(Fleet &fleet, const Deployment &deployment)
{
    scaleDeepServiceTime(fleet, deployment, SlowdownFactor);
}

void speedUp(Fleet &fleet, const Deployment &deployment)
{
    scaleDeepServiceTime(fleet, deployment, 1);
}

void slowDownOneEndpoint(Fleet &fleet, const Deployment &deployment)
{
    fleet.controlEndpoint(deployment.nodesOf("roster").front(),
                          {{"service_ms", deployment.size()->serviceMs * SlowdownFactor}});
}

void restartDeepService(Fleet &fleet, const Deployment &deployment)
{
    for (const std::size_t node : deployment.nodesOf("roster")) {
        fleet.node(node).endpoint->kill();
        fleet.startEndpoint(node);
    }
    slowDown(fleet, deployment);
}

void killDataCentre(Fleet &fleet, const Deployment &)
{
    for (std::size_t i = 0; i < fleet.nodesPerDataCentre(); ++i) {
        fleet.node(i).daemon->kill();
        fleet.node(i).endpoint->kill();
    }
}

}

std::vector<std::string> scenarioNames()
{
    return {"surge", "deep-slow", "greedy-workspace", "stuck-report", "cold-start", "data-centre-loss", AddedLatency};
}

BenchScenario benchScenario(const std::string &name)
{
    if (name == "surge") {
        return {.loadFactors = {{"", 3}}};
    }
    if (name == "deep-slow") {
        return {
            .resends = 5, .resendDelay = std::chrono::milliseconds(20), .beginFault = slowDown, .endFault = speedUp};
    }
    if (name == "greedy-workspace") {
        return {.loadFactors = {{"large-2", 5}}, .limitFactor = 1.3};
    }
    if (name == "stuck-report") {
        return {.reportLoad = "stuck", .beginFault = slowDownOneEndpoint, .endFault = speedUp};
    }
    if (name == "cold-start") {
        return {.beginFault = restartDeepService, .endFault = speedUp};
    }
    if (name == "data-centre-loss") {
        return {.ordinaryLoad = 0.5, .resends = 2, .beginFault = killDataCentre, .isFaultPermanent = true};
    }
    throw std::invalid_argument("unknown scenario " + name);
}

}
