#include "berylspring/node/root_control.h"

#include "berylspring/core/jitter.h"
#include "berylspring/core/request_digest.h"

#include <utility>

namespace berylspring::node {

namespace {

using core::Outcome;
using core::Refusal;
using core::RefusalReason;

/** Time after which the entry may admit a request again that it has shed. */
constexpr core::Duration ShedRetryAfter = std::chrono::milliseconds(700);
/** Bridges the gaps between responses while nearly all requests are shed. */
constexpr core::Duration PaceHoldTime = std::chrono::seconds(10);

admission::RootClass rootClassOf(const CallPlan &plan)
{
    return {.route = plan->route, .service = plan->service, .level = plan->priority, .routeLevel = plan->routeLevel};
}

admission::ReturningRequest returningRequestOf(const http::CallerRequest &request, const CallPlan &plan)
{
    return {.digest = core::requestDigest(request->method, request->target, request->body, plan->workspace),
            .service = plan->service,
            .workspace = plan->workspace,
            .rank = admission::RootAdmission::rankOf(rootClassOf(plan))};
}

/** @return Whether a part is on that may be set to follow the reported pace. */
template<typename Mode>
bool isOn(Mode mode, bool isPaceReported) noexcept
{
    return mode == Mode::On || (mode == Mode::Auto && isPaceReported);
}

bool isServerError(std::uint16_t status) noexcept
{
    constexpr std::uint16_t FirstServerError = 500;
    return status >= FirstServerError;
}

}

RootControl::RootControl(RootControlSettings settings, core::RandomSource random, RootControlHooks hooks)
    : m_settings(settings)
    , m_random(std::move(random))
    , m_hooks(std::move(hooks))
    , m_rootAdmission(m_random)
    , m_schedule(m_random)
{
}

bool RootControl::hasReturnTimes(core::TimePoint now) const
{
    return m_settings.areControlsOn && isOn(m_settings.returnTimes, isPaceReported(now));
}

bool RootControl::hasWorkspaceShares(core::TimePoint now) const
{
    return m_settings.areControlsOn && isOn(m_settings.workspaceShares, isPaceReported(now));
}

admission::WorkspaceLoad RootControl::loadOf(const CallPlan &plan, std::string_view method) const
{
    admission::WorkspaceLoad load{.workspace = plan->workspace};
    if (m_hooks.weightOf) {
        load.weight = m_hooks.weightOf(plan->workspace);
    }
    if (m_hooks.costOf) {
        load.cost = m_hooks.costOf(plan, method);
    }
    return load;
}

std::optional<RootRefusal>
RootControl::admit(const http::CallerRequest &request, const CallPlan &plan, core::TimePoint now)
{
    if (!m_settings.areControlsOn) {
        return std::nullopt;
    }
    admission::RootRequest root{.root = rootClassOf(plan)};
    if (hasReturnTimes(now)) {
        m_schedule.recordArrival(plan->service, plan->workspace, now);
        root.hasPromise = m_schedule.hasPromises(plan->service, now)
                          && m_schedule.takePromise(returningRequestOf(request, plan), now);
    }
    if (hasWorkspaceShares(now)) {
        root.load = loadOf(plan, request->method);
    }
    const admission::RootDecision decision = m_rootAdmission.decide(root, now);
    if (decision.isAdmitted) {
        m_returnsAdmitted += root.hasPromise ? 1 : 0;
        return std::nullopt;
    }
    const Refusal refusal(RefusalReason::Overloaded, Outcome::NotRun, "a service behind the route is overloaded");
    if (hasReturnTimes(now)) {
        RootRefusal shed = withReturnTime(refusal, request, plan, plan->timeout, now);
        shed.workspaceShedShare = decision.workspaceShedShare;
        return shed;
    }
    return RootRefusal{.refusal = refusal.withRetryAfter(core::withJitter(ShedRetryAfter, ShedRetryAfter, m_random())),
                       .workspaceShedShare = decision.workspaceShedShare};
}

double RootControl::shedShare(const CallPlan &plan, std::string_view method, core::TimePoint now) const
{
    if (!m_settings.areControlsOn) {
        return 0;
    }
    admission::RootRequest root{.root = rootClassOf(plan)};
    if (hasWorkspaceShares(now)) {
        root.load = loadOf(plan, method);
    }
    return m_rootAdmission.shedShare(root, now);
}

RootRefusal RootControl::withReturnTime(const Refusal &refusal,
                                        const http::CallerRequest &request,
                                        const CallPlan &plan,
                                        core::Duration remaining,
                                        core::TimePoint now)
{
    if (refusal.reason() != RefusalReason::Overloaded || !hasReturnTimes(now)) {
        return {.refusal = refusal};
    }
    // A promise is not kept while more important requests are shed, and would take room from theirs.
    const admission::ReturnTime time = m_rootAdmission.shedsMoreImportant(rootClassOf(plan), now)
                                           ? m_schedule.withoutPromise(remaining)
                                           : m_schedule.promise(returningRequestOf(request, plan), remaining, now);
    return {.refusal = refusal.withRetryAfter(time.wait), .isPromised = time.isPromised};
}

void RootControl::recordResult(const CallPlan &plan,
                               const wire::CallResponse &response,
                               core::Duration latency,
                               core::TimePoint now)
{
    admission::RootResult result{.latency = latency,
                                 .isFailed = response->refusal.has_value() || isServerError(response->status)};
    if (!response->refusal || response->pressure > 0) {
        result.pressure = response->pressure;
    }
    m_rootAdmission.recordResult(rootClassOf(plan), result, now);
    if (!result.isFailed && hasReturnTimes(now)) {
        m_schedule.recordAdmitted(plan->service, now);
    }
}

void RootControl::recordPace(const wire::CallResponse &response, core::TimePoint now)
{
    if (response->pace > 0) {
        m_paceHoldsUntil = now + PaceHoldTime;
    }
}

RootReturns RootControl::returns() const
{
    const admission::ReturnTotals totals = m_schedule.totals();
    return {.promised = totals.promised, .admitted = m_returnsAdmitted.load(), .late = totals.late};
}

}
