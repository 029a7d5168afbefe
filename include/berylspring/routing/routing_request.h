#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/types.h"
#include "berylspring/routing/cost_table.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace berylspring::routing {

/** @brief Requirements of one request on its endpoint. */
struct RoutingRequest
{
    core::ServiceId service;
    core::DataCentreId dataCentre; ///< Of the node that routes.
    core::PriorityLevel priority = 0;
    /**
     * Factor by which the score of a remote endpoint must be better when all endpoints of the local data centre are
     * full. Without it, equally overloaded data centres would exchange requests for no benefit.
     */
    double remoteCost = 3;
    std::vector<core::DataCentreId> evacuatedDataCentres; ///< Nothing is sent to their endpoints.
    std::vector<core::HostId> excludedHosts; ///< For example the hosts that earlier attempts were sent to.
    CostClass costClass = CostClass::None;
    std::size_t liveNodes = 1; ///< Nodes that share the rate of a cold endpoint.
    [[nodiscard]] bool operator==(const RoutingRequest &) const = default;
};

/** @brief Why an endpoint cannot take a request. */
enum class ExclusionReason {
    OtherService,
    Excluded, ///< Named in RoutingRequest::excludedHosts.
    Evacuated, ///< In one of RoutingRequest::evacuatedDataCentres.
    NotAlive,
    Draining,
    NoSlots,
    LevelNotAdmitted, ///< The request's priority is below the endpoint's admitted level.
    Ejected,
};

/** @return Name in lower case with hyphens, for example "not-alive". */
[[nodiscard]] std::string_view toString(ExclusionReason reason) noexcept;

/** @brief An excluded endpoint and the first reason found. */
struct Exclusion
{
    core::HostId host;
    ExclusionReason reason = ExclusionReason::NotAlive;
    [[nodiscard]] bool operator==(const Exclusion &) const = default;
};

/** @brief The chosen host, if any, and the excluded endpoints. */
struct RoutingDecision
{
    std::optional<core::HostId> host;
    std::vector<Exclusion> exclusions; ///< Without the endpoints of other services.
    [[nodiscard]] bool operator==(const RoutingDecision &) const = default;
};

}
