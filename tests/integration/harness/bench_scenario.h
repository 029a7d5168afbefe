#pragma once

#include "integration/harness/deployment.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace berylspring::test {

/** @brief What happens in the middle of three phases of a load. */
struct BenchScenario
{
    double ordinaryLoad = 0.7; ///< Of the capacity.
    std::map<std::string, double> loadFactors; ///< By tenant, in the middle phase; "" for all others, default 1.
    double limitFactor = 4; ///< Declared rate / ordinary rate of each workspace.
    std::uint32_t resends = 1; ///< By callers, after a call that is not complete.
    core::Duration resendDelay = std::chrono::milliseconds(200);
    std::string reportLoad = "on";
    std::function<void(Fleet &, const Deployment &)> begin; ///< When the middle phase begins.
    std::function<void(Fleet &, const Deployment &)> end; ///< When it ends.
    bool doesRecoverFromBegin = false; ///< The fault lasts; recovery counts from its begin.
};

/** @return Names of all scenarios in the order in which they run. */
[[nodiscard]] std::vector<std::string> scenarioNames();
/** @return A scenario of three phases; throws for another name. */
[[nodiscard]] BenchScenario benchScenario(const std::string &name);

/** @brief The scenario that has no phases but compares calls through two nodes with direct ones. */
inline constexpr const char *AddedLatency = "added-latency";

}
