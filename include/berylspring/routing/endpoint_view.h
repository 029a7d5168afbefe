#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <compare>
#include <cstdint>

namespace berylspring::routing {

/** @brief What a node knows of an endpoint through the membership. */
struct EndpointViewFields
{
    core::HostId host;
    core::DataCentreId dataCentre;
    core::ServiceId service;
    std::uint32_t slots = 0; ///< Requests that the endpoint says it can run at once.
    bool isDraining = false;
    bool isAlive = true;
    double reportedLoad = 0; ///< Requests in flight by the endpoint's own report; may be old or wrong.
    core::TimePoint heardAt; ///< When the report was made, as far as known.
    core::PriorityLevel admittedLevel = 0;
    core::TimePoint firstSeen;
    [[nodiscard]] bool operator==(const EndpointViewFields &) const = default;
};
using EndpointView = core::Immutable<EndpointViewFields>;

}
