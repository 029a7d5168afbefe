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
#include <string_view>

#include <tl/expected.hpp>

namespace berylspring::node {

/** @brief Routing, identity, priority and time limit of a caller's request, fixed before it is dispatched. */
struct CallPlanFields
{
    core::RouteId route;
    core::ServiceId service;
    core::WorkspaceId workspace; ///< Empty for a request without a key on an open route.
    std::optional<core::Digest> keyDigest;
    core::PriorityLevel priority = 0;
    core::PriorityLevel routeLevel = 0; ///< Priority level that the route itself is configured with.
    core::Duration timeout{}; ///< Minimum of the route's, the caller's and the inherited timeout.
    core::Duration answerGrace{}; ///< See wire::CallRequestFields.
    std::uint32_t retries = 0; ///< Retry allowance of a root request.
    bool isNested = false;
    bool isIdempotent = true;
    [[nodiscard]] bool operator==(const CallPlanFields &) const = default;
};
using CallPlan = core::Immutable<CallPlanFields>;

/**
 * @return What the route and the workspace decide about a root request: without service, key and the caller's timeout.
 * @param workspace Empty for a request without a workspace.
 */
[[nodiscard]] CallPlanFields planOfRoute(const config::Route &route,
                                         const core::WorkspaceId &workspace,
                                         std::string_view method,
                                         const config::Catalogue &catalogue);

/** @brief Node state that planCall() reads in addition to the request. */
struct PlanContext
{
    const config::Catalogue &catalogue;
    std::optional<InFlight> parent; ///< Request that the context token identifies.
    std::function<bool(const core::Digest &)> isKeyWithdrawn;
    core::Duration configurationAge{}; ///< Time since the catalogue was last confirmed to be current.
    /** Maximum configuration age at which a request is denied because of what the catalogue lacks; 0: any age. */
    core::Duration denialStaleness{};
    std::function<core::ServiceId(const config::Route &)> chooseService; ///< Picks one of a route's services.
};

/**
 * @brief Resolves the route, authenticates the request, and determines its priority and timeout.
 *
 * A context token replaces the key; a key sent along with a token is ignored, so that an endpoint can act only on
 * behalf of the request that it runs. A key is validated even if the route is open.
 *
 * A denial is final for a caller. If the catalogue is older than `denialStaleness`, a newer one may hold the route or
 * key that it lacks, so the request is refused as NotReady with a time to come back instead.
 * @return The plan, or a refusal, whose outcome is always NotRun.
 */
[[nodiscard]] tl::expected<CallPlan, core::Refusal>
planCall(const http::CallerRequest &request, const PlanContext &context, core::TimePoint now);

}
