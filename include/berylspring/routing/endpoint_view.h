#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <compare>
#include <cstdint>

namespace berylspring::routing {

/** @brief State of an endpoint as known from the membership protocol. */
struct EndpointViewFields
{
    core::HostId host;
    core::DataCentreId dataCentre;
    core::ServiceId service;
    std::uint32_t slots = 0; ///< Number of concurrent requests that the endpoint announces.
    bool isDraining = false;
    bool isAlive = true;
    double reportedLoad = 0; ///< Requests in flight as reported by the endpoint; may be outdated or wrong.
    core::TimePoint reportedAt; ///< Estimated time at which the report was made.
    core::PriorityLevel admittedLevel = 0;
    double coldRate = 0; ///< Requests per second that the cold endpoint tolerates from all nodes; 0: it is not cold.
    core::TimePoint firstSeen;
    [[nodiscard]] bool operator==(const EndpointViewFields &) const = default;
};
using EndpointView = core::Immutable<EndpointViewFields>;

}
