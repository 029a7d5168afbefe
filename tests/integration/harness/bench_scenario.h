#pragma once

#include "integration/harness/deployment.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace berylspring::test {

/** @brief Load and fault of a benchmark scenario; the fault acts in the middle one of three phases. */
struct BenchScenario
{
    double ordinaryLoad = 0.7; ///< Fraction of the capacity.
    std::map<std::string, double> loadFactors; ///< By tenant, in the middle phase; "" stands for all others; default 1.
    double limitFactor = 4; ///< Declared rate / ordinary rate of each workspace.
    std::uint32_t resends = 1; ///< By callers, after a call that is not complete.
    core::Duration resendDelay = std::chrono::milliseconds(200);
    std::string reportLoad = "on";
    std::function<void(Fleet &, const Deployment &)> beginFault; ///< Called when the middle phase starts.
    std::function<void(Fleet &, const Deployment &)> endFault; ///< Called when the middle phase ends.
    bool isFaultPermanent = false; ///< Then recovery is measured from the start of the fault, else from its end.
};

/** @return Names of all scenarios in the order in which they run. */
[[nodiscard]] std::vector<std::string> scenarioNames();
/** @return The scenario of three phases with the name; throws std::invalid_argument for any other name. */
[[nodiscard]] BenchScenario benchScenario(const std::string &name);

/** @brief A scenario without phases, which compares the latency of calls through two nodes with direct ones. */
inline constexpr const char *AddedLatency = "added-latency";

}
