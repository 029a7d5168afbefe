#pragma once

#include "integration/harness/deployment.h"

#include <string>

#include <boost/json/object.hpp>

namespace berylspring::test {

/** @brief Settings of a benchmark run. */
struct BenchSettings
{
    DeploymentSize size;
    core::Duration phase = std::chrono::seconds(4); ///< Length of each of the three phases.
    bool areControlsOn = true;
    [[nodiscard]] bool operator==(const BenchSettings &) const = default;
};

/**
 * @brief Starts a fleet, runs a scenario of scenarioNames() once and stops the fleet.
 * @return Results by name; a value that could not be measured is null. Throws std::runtime_error if the fleet does
 * not start.
 */
[[nodiscard]] boost::json::object runScenario(const std::string &name, const BenchSettings &settings);

}
