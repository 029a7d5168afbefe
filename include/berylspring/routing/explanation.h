#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/routing/candidate.h"
#include "berylspring/routing/cold_share.h"
#include "berylspring/routing/ranking.h"
#include "berylspring/routing/routing_request.h"
#include "berylspring/routing/service_work.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace berylspring::routing {

/** @brief What this node knows of one endpoint of the service, and whether it may take the request. */
struct EndpointExplanation
{
    core::HostId host;
    core::DataCentreId dataCentre;
    std::optional<ExclusionReason> exclusion; ///< No value: the endpoint is eligible.
    /** Eligible, but left out because this node has used its share of the cold rate. */
    bool isBeyondColdShare = false;
    std::uint32_t slots = 0;
    double slowness = 1;
    double outstanding = 0; ///< Outstanding work in seconds at slowness 1.
    std::optional<core::Duration> outstandingAge; ///< Age of the report of the work; no value: none was received.
    std::uint32_t inFlight = 0; ///< Requests from this node.
    double coldRate = 0; ///< 0: the endpoint is not cold.
    double figure = 0; ///< Expected time in seconds by cost, else the score; lower is better.
    [[nodiscard]] bool operator==(const EndpointExplanation &) const = default;
};

/** @brief How a request to one service would be routed now. */
struct RouteExplanation
{
    core::ServiceId service;
    bool isByCost = false; ///< Otherwise by load.
    double cost = 0; ///< Expected cost of the request in seconds.
    std::uint32_t compared = 0; ///< Endpoints of each side that are drawn at random and compared for one request.
    std::vector<EndpointExplanation> endpoints; ///< In the order of the views.
    std::optional<core::HostId> bestLocal; ///< Best one in the own data centre.
    std::optional<core::HostId> bestRemote; ///< Best one in the other data centres.
    std::optional<core::HostId> chosen; ///< Choice if all endpoints were compared.
    [[nodiscard]] bool operator==(const RouteExplanation &) const = default;
};

/** @brief Copy of the state of a service by which its requests are routed. */
struct RoutingState
{
    ServiceWork work;
    ColdShares coldShares; ///< Empty if no endpoint was cold.
    bool isByCost = false;
};

/** @brief Explains the decision about a request from the same steps that decide, without changing any state. */
[[nodiscard]] RouteExplanation explainRoute(const RoutingRequest &request,
                                            std::span<const Candidate> candidates,
                                            const RoutingState &state,
                                            const RouterSettings &settings,
                                            core::TimePoint now);

}
