#include "admission/service_core.h"

#include "berylspring/core/jitter.h"

#include <algorithm>
#include <utility>

namespace berylspring::admission {

void AdmissionService::Core::recordPressure(double sample, core::TimePoint now)
{
    const std::scoped_lock lock(m_pressureMutex);
    m_pressure = m_pressure.withSample(sample, now);
}

void AdmissionService::Core::count(core::RefusalReason reason)
{
    switch (reason) {
    case core::RefusalReason::Overloaded:
        recordPressure(Pressure::MaxSample, m_hooks.now());
        ++m_history->totals.overloaded;
        break;
    case core::RefusalReason::DeadlineExceeded:
        recordPressure(Pressure::MaxSample, m_hooks.now());
        ++m_history->totals.tooLate;
        break;
    case core::RefusalReason::Quarantined:
        ++m_history->totals.quarantined;
        break;
    case core::RefusalReason::KeyInvalid:
        ++m_history->totals.keyWithdrawn;
        break;
    case core::RefusalReason::Cancelled:
        ++m_history->totals.cancelled;
        break;
    case core::RefusalReason::Draining:
        m_history->totals.evacuated += m_gate.isEvacuated() ? 1 : 0;
        break;
    default:
        break;
    }
}

wire::CallResponse AdmissionService::Core::refuseStart(const AdmissionDecision &decision, const RequestContext &context)
{
    wire::CallResponse response = refuse(decision.reason, core::Outcome::NotRun, context);
    m_history->totals.displaced += decision.isDisplaced ? 1 : 0;
    if (decision.reason != core::RefusalReason::Overloaded || !decision.coldWait) {
        return response;
    }
    ++m_history->totals.coldRefused;
    // The waits differ already, except for those that end when the endpoint is warm.
    const auto refusal = response->refusal->withRetryAfter(
        core::withJitter(*decision.coldWait, std::min(*decision.coldWait, m_settings.retryAfter), m_hooks.random()));
    return response.with(&wire::CallResponseFields::refusal, std::optional(refusal));
}

wire::CallResponse
AdmissionService::Core::refuse(core::RefusalReason reason, core::Outcome outcome, const RequestContext &context)
{
    count(reason);
    core::Refusal refusal(reason, outcome);
    if (reason == core::RefusalReason::Overloaded) {
        refusal =
            refusal.withRetryAfter(core::withJitter(m_settings.retryAfter, m_settings.retryAfter, m_hooks.random()));
    } else if (reason == core::RefusalReason::Quarantined) {
        refusal = refusal.withRetryAfter(m_history->quarantine.remaining(context.digest, context.arrivedAt));
    }
    wire::CallResponseFields fields;
    fields.refusal = std::move(refusal);
    return withFeedback(wire::CallResponse(std::move(fields)), context);
}

wire::CallResponse AdmissionService::Core::withFeedback(wire::CallResponse response,
                                                        const RequestContext &context) const
{
    const core::TimePoint now = m_hooks.now();
    const auto state = m_gate.state(now);
    return std::move(response).modified([&](wire::CallResponseFields &fields) {
        fields.admittedLevel = state.admittedLevel;
        fields.inFlight = state.running;
        fields.outstandingWork = m_work.seconds();
        {
            const std::scoped_lock lock(m_pressureMutex);
            fields.pressure = std::max(fields.pressure, m_pressure.value(now));
        }
        fields.queueTime = context.startedAt.value_or(now) - context.arrivedAt;
        fields.serviceTime = now - context.startedAt.value_or(now);
    });
}

}
