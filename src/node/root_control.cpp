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

bool isServerError(std::uint16_t status) noexcept
{
    constexpr std::uint16_t FirstServerError = 500;
    return status >= FirstServerError;
}

}

RootControl::RootControl(RootControlSettings settings, core::RandomSource random)
    : m_settings(settings)
    , m_random(std::move(random))
    , m_rootAdmission(m_random)
    , m_schedule(m_random)
{
}

bool RootControl::hasReturnTimes(core::TimePoint now) const
{
    if (!m_settings.areControlsOn || m_settings.returnTimes == ReturnTimes::Off) {
        return false;
    }
    return m_settings.returnTimes == ReturnTimes::On || isPaceReported(now);
}

std::optional<RootRefusal>
RootControl::admit(const http::CallerRequest &request, const CallPlan &plan, core::TimePoint now)
{
    if (!m_settings.areControlsOn) {
        return std::nullopt;
    }
    const admission::RootClass root = rootClassOf(plan);
    bool hasPromise = false;
    if (hasReturnTimes(now)) {
        m_schedule.recordArrival(plan->service, plan->workspace, now);
        hasPromise = m_schedule.hasPromises(plan->service, now)
                     && m_schedule.takePromise(returningRequestOf(request, plan), now);
    }
    if (m_rootAdmission.admits(root, now, hasPromise)) {
        m_returnsAdmitted += hasPromise ? 1 : 0;
        return std::nullopt;
    }
    const Refusal refusal(RefusalReason::Overloaded, Outcome::NotRun, "a service behind the route is overloaded");
    if (hasReturnTimes(now)) {
        return withReturnTime(refusal, request, plan, plan->timeout, now);
    }
    return RootRefusal{.refusal = refusal.withRetryAfter(core::withJitter(ShedRetryAfter, ShedRetryAfter, m_random()))};
}

double RootControl::shedShare(const CallPlan &plan, core::TimePoint now) const
{
    return m_settings.areControlsOn ? m_rootAdmission.shedShare(rootClassOf(plan), now) : 0;
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
