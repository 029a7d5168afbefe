#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/refusal.h"
#include "berylspring/core/time.h"
#include "berylspring/http/caller_request.h"
#include "berylspring/node/in_flight_table.h"

#include <functional>
#include <optional>

#include <tl/expected.hpp>

namespace berylspring::node {

/** @brief What the entry node has decided about a caller's request before anything is sent. */
struct CallPlanFields
{
    core::RouteId route;
    core::ServiceId service;
    core::WorkspaceId workspace; ///< Empty on an open route without a key.
    std::optional<core::Digest> keyDigest;
    core::PriorityLevel priority = 0;
    core::PriorityLevel routeLevel = 0; ///< Level of the route's own priority.
    core::Duration timeout{}; ///< The least of the route's, the caller's and the inherited time.
    std::uint32_t retries = 0; ///< Allowance of a root request.
    bool isNested = false;
    bool isIdempotent = true;
    [[nodiscard]] bool operator==(const CallPlanFields &) const = default;
};
using CallPlan = core::Immutable<CallPlanFields>;

/** @brief What the plan depends on besides the request. */
struct PlanContext
{
    const config::Catalogue &catalogue;
    std::optional<InFlight> parent; ///< Of the request's context token.
    std::function<bool(const core::Digest &)> isKeyWithdrawn;
    core::Duration configurationAge{}; ///< Since the catalogue was known to be the newest one.
    std::function<core::ServiceId(const config::Route &)> chooseService; ///< Among the services of a route.
};

/**
 * @brief Finds the route, checks the key and the workspace, and fixes priority and time of a request.
 *
 * A context token takes the place of a key; a key that comes with one is ignored, so that an endpoint acts only for
 * the request that it runs. A key on an open route must be valid.
 * @return The plan, or the refusal; its outcome is always NotRun.
 */
[[nodiscard]] tl::expected<CallPlan, core::Refusal>
planCall(const http::CallerRequest &request, const PlanContext &context, core::TimePoint now);

}
