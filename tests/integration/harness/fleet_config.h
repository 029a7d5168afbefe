#pragma once

#include "berylspring/core/immutable.h"

#include <cstddef>
#include <string>
#include <vector>

namespace berylspring::test {

/** @brief Options of one fake endpoint. */
struct EndpointConfig
{
    std::string service;
    std::size_t slots = 8;
    double serviceMs = 5;
    double jitter = 0;
    std::string reportLoad = "on"; ///< "on", "stuck" or "off".
    std::vector<std::string> extraOptions;
    [[nodiscard]] bool operator==(const EndpointConfig &) const = default;
};

/** @brief Configuration of a Fleet. */
struct FleetConfigFields
{
    std::vector<std::string> dataCentres{"dc-a"};
    /** Each data centre gets one node per entry, with that endpoint; an empty service means no endpoint. */
    std::vector<EndpointConfig> endpoints;
    bool areControlsOn = true;
    /** Sections in INI format, appended to the settings of every node, for example "[limits]\n...". */
    std::string extraSettings;
    [[nodiscard]] bool operator==(const FleetConfigFields &) const = default;
};
using FleetConfig = core::Immutable<FleetConfigFields>;

}
