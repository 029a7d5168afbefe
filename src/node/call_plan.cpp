#include "berylspring/node/call_plan.h"

#include <algorithm>

namespace berylspring::node {

namespace {

using core::Outcome;
using core::Refusal;
using core::RefusalReason;
using tl::unexpected;

/** @brief Workspace and key on whose behalf a request runs. */
struct Identity
{
    core::WorkspaceId workspace;
    std::optional<core::Digest> keyDigest;
};

Refusal notRun(RefusalReason reason, std::string detail)
{
    return {reason, Outcome::NotRun, std::move(detail)};
}

/** Until the configuration has been confirmed again, which a node tries several times a second. */
constexpr core::Duration StaleRetryAfter = std::chrono::seconds(1);

/** @return The denial, or NotReady if a newer configuration may allow the request. */
Refusal denied(RefusalReason reason, const std::string &detail, const PlanContext &context)
{
    const bool isBounded = context.denialStaleness > core::Duration::zero();
    if (isBounded && context.configurationAge > context.denialStaleness) {
        return notRun(RefusalReason::NotReady, "the configuration is too old to deny the request: " + detail)
            .withRetryAfter(StaleRetryAfter);
    }
    return notRun(reason, detail);
}

tl::expected<Identity, Refusal> identityOfKey(const std::string &key, const PlanContext &context)
{
    const core::Digest digest = core::sha256(key);
    const config::Key *known = context.catalogue.findKey(digest);
    if (context.isKeyWithdrawn(digest)) {
        return unexpected(notRun(RefusalReason::KeyInvalid, "the key was withdrawn"));
    }
    if (known == nullptr) {
        return unexpected(denied(RefusalReason::KeyInvalid, "the key is not known", context));
    }
    return Identity{(*known)->workspace, digest};
}

tl::expected<Identity, Refusal> identityOfParent(const PlanContext &context)
{
    if (!context.parent) {
        return unexpected(notRun(RefusalReason::KeyInvalid, "Berylspring-Context names no request that runs here"));
    }
    const InFlight &parent = *context.parent;
    if (parent->keyDigest && context.isKeyWithdrawn(*parent->keyDigest)) {
        return unexpected(notRun(RefusalReason::KeyInvalid, "the key of the root request was withdrawn"));
    }
    return Identity{parent->workspace, parent->keyDigest};
}

tl::expected<Identity, Refusal>
identityOf(const http::CallerRequest &request, const config::Route &route, const PlanContext &context)
{
    if (request->contextToken) {
        return identityOfParent(context);
    }
    if (request->key) {
        return identityOfKey(*request->key, context);
    }
    if (route->isOpen) {
        return Identity{};
    }
    return unexpected(denied(RefusalReason::KeyMissing, "the route needs a key", context));
}

std::optional<Refusal>
checkWorkspace(const core::WorkspaceId &name, const config::Route &route, const PlanContext &context)
{
    if (name.isEmpty()) {
        // On a route that is not open, only a nested call of a request without a workspace gets here.
        return route->isOpen ? std::nullopt
                             : std::optional<Refusal>(notRun(RefusalReason::KeyMissing, "the route needs a key"));
    }
    const config::Workspace *workspace = context.catalogue.findWorkspace(name);
    if (workspace == nullptr) {
        return denied(RefusalReason::WorkspaceRefused, "the workspace does not exist", context);
    }
    const bool isStale = context.configurationAge > (*workspace)->stalenessLimit;
    if ((*workspace)->staleness == config::Staleness::Refuse && isStale) {
        return notRun(RefusalReason::NotReady, "the configuration is older than the workspace allows");
    }
    return std::nullopt;
}

core::Duration timeoutOf(const http::CallerRequest &request,
                         const config::Route &route,
                         const PlanContext &context,
                         core::TimePoint now)
{
    core::Duration timeout = route->timeout;
    if (request->timeout) {
        timeout = std::min(timeout, *request->timeout);
    }
    if (context.parent) {
        timeout = std::min<core::Duration>(timeout, (*context.parent)->deadline - now);
    }
    return timeout;
}

core::PriorityLevel levelOf(const config::Priority *priority)
{
    return priority == nullptr ? core::PriorityLevel{0} : (*priority)->level;
}

core::PriorityLevel
priorityOf(const config::Route &route, const core::WorkspaceId &workspaceName, const config::Catalogue &catalogue)
{
    const config::Workspace *workspace = catalogue.findWorkspace(workspaceName);
    const bool hasOwn = workspace != nullptr && !(*workspace)->priority.isEmpty();
    return levelOf(catalogue.findPriority(hasOwn ? (*workspace)->priority : route->priority));
}

}

CallPlanFields planOfRoute(const config::Route &route,
                           const core::WorkspaceId &workspace,
                           std::string_view method,
                           const config::Catalogue &catalogue)
{
    return {.route = route->name,
            .workspace = workspace,
            .priority = priorityOf(route, workspace, catalogue),
            .routeLevel = levelOf(catalogue.findPriority(route->priority)),
            .timeout = route->timeout,
            .retries = route->retries,
            .isNested = route->isInternal && workspace.isEmpty(),
            .isIdempotent = config::isIdempotent(route, method)};
}

tl::expected<CallPlan, Refusal>
planCall(const http::CallerRequest &request, const PlanContext &context, core::TimePoint now)
{
    const config::Route *route = context.catalogue.findRoute(request->host, http::pathOf(request->target));
    if (route == nullptr) {
        return unexpected(denied(RefusalReason::RouteUnknown, "no route has a prefix of the path", context));
    }
    const auto identity = identityOf(request, *route, context);
    if (!identity) {
        return unexpected(identity.error());
    }
    if (const auto refusal = checkWorkspace(identity->workspace, *route, context)) {
        return unexpected(*refusal);
    }
    const core::Duration timeout = timeoutOf(request, *route, context, now);
    if (timeout <= core::Duration::zero()) {
        return unexpected(notRun(RefusalReason::DeadlineExceeded, "no time is left for the request"));
    }
    CallPlanFields plan = planOfRoute(*route, identity->workspace, request->method, context.catalogue);
    plan.service = context.chooseService(*route);
    plan.keyDigest = identity->keyDigest;
    plan.priority = context.parent ? (*context.parent)->priority : plan.priority;
    plan.timeout = timeout;
    plan.isNested = plan.isNested || request->contextToken.has_value();
    return CallPlan(std::move(plan));
}

}
