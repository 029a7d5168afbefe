#include "berylspring/admission/endpoint_gate.h"

#include <algorithm>
#include <utility>

namespace berylspring::admission {

namespace {

/** Limit on waiting suspects, because each one blocks all other requests while it runs. */
constexpr std::size_t MaxSuspects = 64;
/** Other requests run for this multiple of the time that a suspect took, so suspects use at most a quarter of it. */
constexpr int SharedTimeFactor = 3;
/**
 * Refusing a nested call wastes the work of its root request, so the queue holds more nested calls than new requests,
 * and they may wait until their deadlines.
 */
constexpr std::size_t NestedQueueFactor = 5;

}

EndpointGate::EndpointGate(const AdmissionSettings &settings, core::TimePoint now)
    : m_settings(settings)
    , m_limit(settings.limitRule, 0, now)
    , m_nextSuspectAt(now)
{
}

GateResult EndpointGate::arrive(const QueueEntry &entry, bool isSuspect, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    refreshStartRate(now);
    GateResult result;
    if (const auto reason = refusalReason(entry, now)) {
        result.decision = AdmissionDecision{.kind = AdmissionDecision::Kind::Refuse, .reason = *reason};
        return result;
    }
    if (!m_settings.areControlsOn && !m_startRate && m_queue.isEmpty()) {
        result.decision = start(AdmissionDecision::Kind::Start, now);
        return result;
    }
    result.decision = isSuspect ? enqueueSuspect(entry, now) : enqueue(entry, now, result.decided);
    startWaiting(now, result.decided);
    if (const auto decided = m_decisions.find(entry->id); decided != m_decisions.end()) {
        result.decision = decided->second;
        m_decisions.erase(decided);
        std::erase(result.decided, entry->id);
    }
    return result;
}

std::optional<core::RefusalReason> EndpointGate::refusalReason(const QueueEntry &entry, core::TimePoint now) const
{
    if (m_drainingSince || m_isEvacuated) {
        return core::RefusalReason::Draining;
    }
    if (m_limit.slots() == 0) {
        return core::RefusalReason::NoEndpoint;
    }
    if (!m_settings.areControlsOn) {
        return std::nullopt;
    }
    // An idle endpoint ignores the estimate, so that a new sample corrects one that has become too high.
    const bool isIdle = m_running == 0 && m_queue.isEmpty();
    const core::Duration needed = isIdle ? core::Duration::zero() : m_serviceTimes.lowQuantile(now);
    return entry->deadline - now <= needed ? std::optional(core::RefusalReason::DeadlineExceeded) : std::nullopt;
}

AdmissionDecision EndpointGate::enqueue(const QueueEntry &entry, core::TimePoint now, RequestIds &decided)
{
    const std::uint32_t limit = m_limit.limit();
    const bool canStart = m_queue.isEmpty() && m_running < limit && hasToken(now);
    const std::size_t factor = entry->isNested ? NestedQueueFactor : 1;
    const std::size_t warmLength = std::max<std::size_t>(factor * maxQueueLength(now), canStart ? 1 : 0);
    const OfferResult offer =
        m_queue.offer(entry, m_startRate ? std::min(warmLength, maxColdQueueLength(entry, now)) : warmLength);
    if (!offer.isAccepted) {
        raiseLevel(now);
        return refuseOverloaded(now);
    }
    if (offer.displaced) {
        raiseLevel(now);
        AdmissionDecision refused = refuseOverloaded(now);
        refused.isDisplaced = true;
        decide(*offer.displaced, refused, decided);
    }
    const core::Duration untilTooLate = entry->deadline - now - m_serviceTimes.lowQuantile(now);
    const core::Duration bound = entry->isNested ? untilTooLate : std::min(untilTooLate, m_settings.targetWait);
    const auto longest = std::max(core::Duration::zero(), bound);
    return AdmissionDecision{.kind = AdmissionDecision::Kind::Wait, .maxWait = longest};
}

AdmissionDecision EndpointGate::enqueueSuspect(const QueueEntry &entry, core::TimePoint now)
{
    if (m_suspects.size() >= MaxSuspects) {
        return refuseOverloaded(now);
    }
    m_suspects.push_back(Suspect{entry->id, entry->deadline});
    return AdmissionDecision{.kind = AdmissionDecision::Kind::Wait,
                             .maxWait = std::max(core::Duration::zero(), entry->deadline - now)};
}

std::size_t EndpointGate::maxQueueLength(core::TimePoint now) const
{
    const core::Duration mean = m_serviceTimes.mean(now);
    if (mean <= core::Duration::zero()) {
        return m_settings.maxQueueLength;
    }
    const double startsInTargetWait =
        m_limit.limit() * static_cast<double>(m_settings.targetWait.count()) / static_cast<double>(mean.count());
    return static_cast<std::size_t>(
        std::clamp(startsInTargetWait, 1.0, static_cast<double>(m_settings.maxQueueLength)));
}

std::size_t EndpointGate::maxColdQueueLength(const QueueEntry &entry, core::TimePoint now) const
{
    const core::Duration target = static_cast<int>(entry->isNested ? NestedQueueFactor : 1) * m_settings.targetWait;
    const core::Duration wait = std::min(target, entry->deadline - now - m_serviceTimes.lowQuantile(now));
    const std::size_t due = m_startRate->dueUntil(now + wait, now);
    // Nested and new requests take turns, so the other kind gets up to half of the tokens.
    return due - std::min(m_queue.size(!entry->isNested), due / 2);
}

void EndpointGate::refreshStartRate(core::TimePoint now)
{
    const bool isCold = m_cold.reason(now).has_value();
    if (isCold && !m_startRate) {
        m_startRate = StartRate(m_cold.rule.rate, m_cold.rule.burst, now);
    } else if (!isCold) {
        m_startRate.reset();
    }
}

bool EndpointGate::hasToken(core::TimePoint now) const
{
    return !m_startRate || m_startRate->hasToken(now);
}

AdmissionDecision EndpointGate::start(AdmissionDecision::Kind kind, core::TimePoint now)
{
    ++m_running;
    AdmissionDecision decision{.kind = kind};
    if (m_startRate) {
        m_startRate = m_startRate->withStart(now);
        decision.coldWait = core::Duration::zero();
    }
    return decision;
}

AdmissionDecision EndpointGate::refuseOverloaded(core::TimePoint now)
{
    AdmissionDecision decision{.kind = AdmissionDecision::Kind::Refuse, .reason = core::RefusalReason::Overloaded};
    if (m_startRate) {
        // Each refused caller is given a token of its own, so that they do not return together. An endpoint that will
        // be warm earlier takes all of them then.
        const core::TimePoint next = m_startRate->dueAt(m_queue.size() + m_suspects.size() + 1, now);
        const core::TimePoint warmAt = m_cold.state.warmAt(now).value_or(now + m_cold.rule.coldTime);
        m_lastReturn = std::max(next, std::min(warmAt, m_lastReturn + m_startRate->interval()));
        decision.coldWait = m_lastReturn - now;
    }
    return decision;
}

std::vector<std::uint64_t> EndpointGate::setCold(const ColdLimit &cold, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    RequestIds decided;
    if (cold.state.revision() < m_cold.state.revision()) {
        return decided;
    }
    if (cold.rule != m_cold.rule) {
        m_startRate.reset();
    }
    m_cold = cold;
    refreshStartRate(now);
    startWaiting(now, decided);
    return decided;
}

std::optional<core::TimePoint> EndpointGate::nextStartAt(core::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const bool isWaiting = !m_queue.isEmpty() || !m_suspects.empty();
    // With a token at hand, a request waits for another one to finish.
    if (!m_startRate || !isWaiting || m_startRate->hasToken(now)) {
        return std::nullopt;
    }
    const auto warmAt = m_cold.state.warmAt(now);
    return warmAt ? std::min(*warmAt, m_startRate->nextAt()) : m_startRate->nextAt();
}

std::vector<std::uint64_t> EndpointGate::tick(core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    refreshStartRate(now);
    RequestIds decided;
    startWaiting(now, decided);
    return decided;
}

void EndpointGate::raiseLevel(core::TimePoint now)
{
    // Requests of the lowest waiting priority are still served in part, so only the levels below it are shed.
    if (const auto lowest = m_queue.lowestPriority()) {
        m_level = m_level.withPressure(*lowest, now);
    }
}

void EndpointGate::startWaiting(core::TimePoint now, RequestIds &decided)
{
    if (m_drainingSince && now - *m_drainingSince >= m_settings.drainStartWindow) {
        refuseWaiting(core::RefusalReason::Draining, decided);
        return;
    }
    if (m_isSuspectRunning || startSuspect(now, decided)) {
        return;
    }
    while ((m_running < m_limit.limit() || !m_settings.areControlsOn) && hasToken(now)) {
        const core::Duration needed = m_running == 0 ? core::Duration::zero() : m_serviceTimes.lowQuantile(now);
        const TakeResult taken = m_queue.take(now, needed);
        for (const std::uint64_t id : taken.tooLate) {
            decide(id,
                   AdmissionDecision{.kind = AdmissionDecision::Kind::Refuse,
                                     .reason = core::RefusalReason::DeadlineExceeded},
                   decided);
        }
        if (!taken.next) {
            return;
        }
        decide((*taken.next)->id, start(AdmissionDecision::Kind::Start, now), decided);
    }
}

/** @return Whether other requests must wait for a suspect. */
bool EndpointGate::startSuspect(core::TimePoint now, RequestIds &decided)
{
    const bool isIdle = m_running == 0 && m_queue.isEmpty();
    if (m_suspects.empty() || m_limit.slots() == 0 || (now < m_nextSuspectAt && !isIdle)) {
        m_drainingForSuspectSince.reset();
        return false;
    }
    if (!m_drainingForSuspectSince) {
        m_drainingForSuspectSince = now;
    }
    if (m_running == 0 && hasToken(now)) {
        const Suspect next = m_suspects.front();
        m_suspects.pop_front();
        m_isSuspectRunning = true;
        decide(next.id, start(AdmissionDecision::Kind::StartAlone, now), decided);
    }
    return true;
}

void EndpointGate::decide(std::uint64_t id, AdmissionDecision decision, RequestIds &decided)
{
    m_decisions.insert_or_assign(id, decision);
    decided.push_back(id);
}

std::optional<AdmissionDecision> EndpointGate::resolveWaiting(std::uint64_t id, core::TimePoint now)
{
    if (const auto decided = m_decisions.find(id); decided != m_decisions.end()) {
        const AdmissionDecision decision = decided->second;
        m_decisions.erase(decided);
        return decision;
    }
    core::TimePoint deadline;
    if (const auto entry = m_queue.remove(id)) {
        deadline = (*entry)->deadline;
    } else {
        const auto suspect = std::find_if(
            m_suspects.begin(), m_suspects.end(), [&](const Suspect &candidate) { return candidate.id == id; });
        if (suspect == m_suspects.end()) {
            return std::nullopt;
        }
        deadline = suspect->deadline;
        m_suspects.erase(suspect);
    }
    if (deadline - now <= m_serviceTimes.lowQuantile(now)) {
        return AdmissionDecision{.kind = AdmissionDecision::Kind::Refuse,
                                 .reason = core::RefusalReason::DeadlineExceeded};
    }
    return refuseOverloaded(now);
}

GateResult EndpointGate::leave(std::uint64_t id, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    refreshStartRate(now);
    GateResult result;
    result.decision = resolveWaiting(id, now).value_or(AdmissionDecision{.kind = AdmissionDecision::Kind::Refuse});
    startWaiting(now, result.decided);
    return result;
}

std::vector<std::uint64_t> EndpointGate::finish(const RunReport &report, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    refreshStartRate(now);
    if (report.isSample) {
        const LimitSample sample{report.latency, m_running, report.isOverloadError, report.nestedInFlight};
        m_limit = m_limit.withSample(sample, now);
        if (!report.isOverloadError) {
            m_serviceTimes = m_serviceTimes.withSample(report.latency, now);
        }
    }
    --m_running;
    if (report.ranAlone) {
        m_isSuspectRunning = false;
        m_nextSuspectAt = now + SharedTimeFactor * (now - m_drainingForSuspectSince.value_or(now));
        m_drainingForSuspectSince.reset();
    }
    RequestIds decided;
    startWaiting(now, decided);
    return decided;
}

std::vector<std::uint64_t> EndpointGate::setSlots(std::uint32_t slots, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    refreshStartRate(now);
    RequestIds decided;
    m_limit = m_limit.withSlots(slots, now);
    if (slots == 0) {
        refuseWaiting(core::RefusalReason::NoEndpoint, decided);
    }
    startWaiting(now, decided);
    return decided;
}

void EndpointGate::refuseWaiting(core::RefusalReason reason, RequestIds &decided)
{
    const AdmissionDecision refused{.kind = AdmissionDecision::Kind::Refuse, .reason = reason};
    for (const std::uint64_t id : m_queue.clear()) {
        decide(id, refused, decided);
    }
    for (const Suspect &suspect : std::exchange(m_suspects, {})) {
        decide(suspect.id, refused, decided);
    }
}

std::vector<std::uint64_t> EndpointGate::retire()
{
    const std::scoped_lock lock(m_mutex);
    // Its drain has begun long ago, so nothing that waits may start.
    m_drainingSince = core::TimePoint();
    RequestIds decided;
    refuseWaiting(core::RefusalReason::Draining, decided);
    return decided;
}

bool EndpointGate::startDrain(core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const bool begins = !m_drainingSince;
    m_drainingSince = m_drainingSince.value_or(now);
    return begins;
}

std::vector<std::uint64_t> EndpointGate::setEvacuated(bool isEvacuated, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    RequestIds decided;
    m_isEvacuated = isEvacuated;
    if (isEvacuated) {
        refuseWaiting(core::RefusalReason::Draining, decided);
    }
    startWaiting(now, decided);
    return decided;
}

bool EndpointGate::isEvacuated() const
{
    const std::scoped_lock lock(m_mutex);
    return m_isEvacuated;
}

bool EndpointGate::isIdle() const
{
    const std::scoped_lock lock(m_mutex);
    return m_running == 0 && m_queue.isEmpty() && m_suspects.empty() && m_decisions.empty();
}

core::Duration EndpointGate::pressureWait(core::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto wait = std::chrono::duration_cast<core::Duration>(m_settings.pressureWait * m_serviceTimes.mean(now));
    return std::max(m_settings.minPressureWait, wait);
}

AdmissionStateFields EndpointGate::state(core::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    return AdmissionStateFields{.running = m_running,
                                .queued = m_queue.size() + m_suspects.size(),
                                .limit = m_limit.limit(),
                                .slots = m_limit.slots(),
                                .admittedLevel = m_level.level(now),
                                .isDraining = m_drainingSince.has_value(),
                                .isEvacuated = m_isEvacuated,
                                .counters = {}};
}

}
