#pragma once

#include "integration/harness/deployment.h"

#include <string>

#include <boost/json/object.hpp>

namespace berylspring::test {

/** @brief How a scenario of the benchmark runs. */
struct BenchSettings
{
    DeploymentSize size;
    core::Duration phase = std::chrono::seconds(4); ///< Length of each of the three phases.
    bool areControlsOn = true;
    [[nodiscard]] bool operator==(const BenchSettings &) const = default;
};

/**
 * @brief Starts a fleet, runs a scenario of scenarioNames() once and stops the fleet.
 * @return Figures by name; a figure that could not be measured is null. Throws std::runtime_error if the fleet does
 * not come up.
 */
[[nodiscard]] boost::json::object runScenario(const std::string &name, const BenchSettings &settings);

}
