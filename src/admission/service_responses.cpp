#include "admission/service_core.h"

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

core::Duration AdmissionService::Core::jitteredRetryAfter() const
{
    // Jitter between one and two times the setting, so that callers refused together do not retry together.
    const auto base = static_cast<std::uint64_t>(std::max<core::Duration::rep>(m_settings.retryAfter.count(), 1));
    return core::Duration(static_cast<core::Duration::rep>(base + m_hooks.random() % base));
}

core::Duration AdmissionService::Core::jitteredColdWait(core::Duration wait) const
{
    // The waits differ already, except for those that end when the endpoint is warm.
    const auto most =
        static_cast<std::uint64_t>(std::max<core::Duration::rep>(std::min(wait, m_settings.retryAfter).count(), 1));
    return wait + core::Duration(static_cast<core::Duration::rep>(m_hooks.random() % most));
}

wire::CallResponse AdmissionService::Core::refuseStart(const AdmissionDecision &decision, const RequestContext &context)
{
    wire::CallResponse response = refuse(decision.reason, core::Outcome::NotRun, context);
    if (decision.reason != core::RefusalReason::Overloaded || !decision.coldWait) {
        return response;
    }
    ++m_history->totals.coldRefused;
    const auto refusal = response->refusal->withRetryAfter(jitteredColdWait(*decision.coldWait));
    return response.with(&wire::CallResponseFields::refusal, std::optional(refusal));
}

wire::CallResponse
AdmissionService::Core::refuse(core::RefusalReason reason, core::Outcome outcome, const RequestContext &context)
{
    count(reason);
    core::Refusal refusal(reason, outcome);
    if (reason == core::RefusalReason::Overloaded) {
        refusal = refusal.withRetryAfter(jitteredRetryAfter());
    } else if (reason == core::RefusalReason::Quarantined) {
        refusal = refusal.withRetryAfter(m_history->quarantine.remaining(context.digest, context.arrivedAt));
    }
    wire::CallResponseFields fields;
    fields.refusal = std::move(refusal);
    return withFeedback(wire::CallResponse(std::move(fields)), context);
}

wire::CallResponse AdmissionService::Core::withFeedback(const wire::CallResponse &response,
                                                        const RequestContext &context) const
{
    const core::TimePoint now = m_hooks.now();
    const auto state = m_gate.state(now);
    wire::CallResponseFields fields = *response;
    fields.admittedLevel = state.admittedLevel;
    fields.inFlight = state.running;
    fields.outstandingWork = m_work.seconds();
    {
        const std::scoped_lock lock(m_pressureMutex);
        fields.pressure = std::max(fields.pressure, m_pressure.value(now));
    }
    fields.queueTime = context.startedAt.value_or(now) - context.arrivedAt;
    fields.serviceTime = now - context.startedAt.value_or(now);
    return wire::CallResponse(std::move(fields));
}

}
