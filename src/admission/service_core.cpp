#include "admission/service_core.h"

#include "berylspring/core/request_digest.h"

#include <optional>
#include <utility>

#include <boost/asio/cancellation_state.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/system/system_error.hpp>

// g++ 12 reports the allocation of Asio's coroutine frames, whose operator new and delete do match.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace berylspring::admission {

namespace asio = boost::asio;

namespace {

constexpr std::uint16_t TooManyRequests = 429;
constexpr std::uint16_t ServiceUnavailable = 503;
constexpr std::uint16_t FirstServerError = 500;

bool isOverloadStatus(std::uint16_t status) noexcept
{
    return status == TooManyRequests || status == ServiceUnavailable;
}

/** Errors of the endpoint other than overload are often fast and are no measure of its capacity. */
bool isLatencySample(const EndpointResult &result) noexcept
{
    const wire::CallResponse &response = result.response;
    if (response->refusal) {
        // The time until the deadline is a lower bound of the service time.
        return result.maybeSent && response->refusal->reason() == core::RefusalReason::DeadlineExceeded;
    }
    return !result.connectionLost && (response->status < FirstServerError || isOverloadStatus(response->status));
}

/** Errors and the time until a deadline say nothing about the work that a request needs. */
bool isCostSample(const EndpointResult &result) noexcept
{
    const wire::CallResponse &response = result.response;
    return !response->refusal && !result.connectionLost && routing::showsCost(response->status);
}

}

/** @brief Releases the slot on the endpoint, also when the coroutine is destroyed while the request runs. */
class AdmissionService::Core::RunGuard
{
public:
    RunGuard(Core &core, bool ranAlone) noexcept
        : m_core(core)
    {
        m_report.ranAlone = ranAlone;
    }
    ~RunGuard()
    {
        m_core.release(m_report);
    }
    RunGuard(const RunGuard &) = delete;
    RunGuard &operator=(const RunGuard &) = delete;

    void ended(const EndpointResult &result, core::Duration latency) noexcept
    {
        m_report.isSample = isLatencySample(result);
        m_report.isOverloadError = isOverloadStatus(result.response->status);
        m_report.latency = latency;
        m_report.nestedInFlight = m_core.m_hooks.nestedInFlight ? m_core.m_hooks.nestedInFlight() : 0;
    }

private:
    Core &m_core;
    RunReport m_report;
};

AdmissionService::Core::Core(asio::any_io_executor executor,
                             AdmissionSettings settings,
                             AdmissionHooks hooks,
                             std::shared_ptr<AdmissionHistory> history)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_gate(settings, m_hooks.now())
    , m_history(std::move(history))
    , m_startTimer(std::make_shared<detail::StartTimer>(m_executor))
{
}

asio::awaitable<wire::CallResponse> AdmissionService::Core::run(std::shared_ptr<Core> self, wire::CallRequest request)
{
    const RequestContext arrived = self->contextOf(request);
    if (self->isKeyWithdrawn(request)) {
        co_return self->refuse(core::RefusalReason::KeyInvalid, core::Outcome::NotRun, arrived);
    }
    auto known = QuarantineState::Clear;
    if (self->m_settings.areControlsOn) {
        known = self->m_history->quarantine.state(arrived.digest, arrived.arrivedAt);
        // A retry may arrive before the notice of the host at which the request ran during a crash.
        if (known == QuarantineState::Clear && request->isSuspect) {
            self->m_history->quarantine.suspect(arrived.digest, arrived.arrivedAt);
            known = QuarantineState::Suspect;
        }
    }
    if (known == QuarantineState::Quarantined) {
        co_return self->refuse(core::RefusalReason::Quarantined, core::Outcome::NotRun, arrived);
    }
    OutstandingWork::Share work(self->m_work, routing::costClassOf(request->route, request->method));
    const auto decision =
        co_await waitForStart(self, self->entryOf(arrived, request), known == QuarantineState::Suspect);
    if (!decision.isStart()) {
        work.release();
        co_return self->refuseStart(decision, arrived);
    }

    const bool ranAlone = decision.kind == AdmissionDecision::Kind::StartAlone;
    RunGuard guard(*self, ranAlone);
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    if (cancellation.cancelled() != asio::cancellation_type::none) {
        co_return self->refuse(core::RefusalReason::Cancelled, core::Outcome::NotRun, arrived);
    }
    if (self->isKeyWithdrawn(request)) {
        co_return self->refuse(core::RefusalReason::KeyInvalid, core::Outcome::NotRun, arrived);
    }
    RequestContext context = arrived;
    const core::TimePoint startedAt = self->m_hooks.now();
    context.startedAt = startedAt;
    self->recordPressure(std::chrono::duration<double>(startedAt - arrived.arrivedAt)
                             / std::chrono::duration<double>(self->m_gate.pressureWait(startedAt)),
                         startedAt);
    ++self->m_history->totals.started;
    self->m_history->totals.coldStarted += decision.coldWait ? 1 : 0;
    request = std::move(request).with(&wire::CallRequestFields::remaining, context.deadline - startedAt);
    EndpointResult result = co_await callEndpoint(self, std::move(request));
    const core::TimePoint endedAt = self->m_hooks.now();
    guard.ended(result, endedAt - startedAt);
    work.release();
    if (isCostSample(result)) {
        work.learn(endedAt - startedAt, endedAt);
    }
    co_return self->processResult(context, ranAlone, std::move(result));
}

asio::awaitable<AdmissionDecision>
AdmissionService::Core::waitForStart(std::shared_ptr<Core> self, QueueEntry entry, bool isSuspect)
{
    const auto event = std::make_shared<detail::AsyncEvent>(self->m_executor);
    self->m_waiting.insertOrAssign(entry->id, event);
    const auto arrival = self->m_gate.arrive(entry, isSuspect, entry->arrivedAt);
    self->wake(arrival.decided);
    if (arrival.decision.kind != AdmissionDecision::Kind::Wait) {
        self->m_waiting.erase(entry->id);
        co_return arrival.decision;
    }
    self->armStartTimer();
    try {
        co_await event->wait(arrival.decision.maxWait);
    } catch (const boost::system::system_error &) {
        // Cancelled before the wait began; leave() below removes the request.
    }
    self->m_waiting.erase(entry->id);
    const auto left = self->m_gate.leave(entry->id, self->m_hooks.now());
    self->wake(left.decided);
    self->armStartTimer();
    self->wakeIdleWaiters();
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    auto decision = left.decision;
    if (!decision.isStart() && cancellation.cancelled() != asio::cancellation_type::none) {
        decision.reason = core::RefusalReason::Cancelled;
    }
    co_return decision;
}

asio::awaitable<EndpointResult> AdmissionService::Core::callEndpoint(std::shared_ptr<Core> self,
                                                                     wire::CallRequest request)
{
    try {
        co_return co_await self->m_hooks.endpointCall(std::move(request));
    } catch (const boost::system::system_error &error) {
        const bool isCancelled = error.code() == asio::error::operation_aborted;
        const auto reason = isCancelled ? core::RefusalReason::Cancelled : core::RefusalReason::ConnectionLost;
        wire::CallResponseFields fields;
        fields.refusal = core::Refusal(reason, core::Outcome::Unknown, error.what());
        EndpointResult result;
        result.response = wire::CallResponse(std::move(fields));
        co_return result;
    }
}

wire::CallResponse
AdmissionService::Core::processResult(const RequestContext &context, bool ranAlone, EndpointResult &&result)
{
    const auto outcome = result.maybeSent ? core::Outcome::Unknown : core::Outcome::NotRun;
    if (result.connectionLost) {
        ++m_history->totals.connectionsLost;
        if (result.maybeSent && m_settings.areControlsOn) {
            recordCrash(context, ranAlone);
        }
        return refuse(core::RefusalReason::ConnectionLost, outcome, context)
            .with(&wire::CallResponseFields::hasEndpointCrashed, result.maybeSent);
    }
    if (result.response->refusal) {
        auto refusal = result.response->refusal;
        if (result.maybeSent && refusal->outcome() == core::Outcome::NotRun) {
            refusal = refusal->withOutcome(core::Outcome::Unknown);
        }
        return withFeedback(std::move(result.response).with(&wire::CallResponseFields::refusal, std::move(refusal)),
                            context);
    }
    ++m_history->totals.answered;
    if (m_settings.areControlsOn) {
        m_history->quarantine.answered(context.digest, m_hooks.now());
    }
    return withFeedback(std::move(result.response), context);
}

void AdmissionService::Core::recordCrash(const RequestContext &context, bool ranAlone)
{
    const core::TimePoint now = m_hooks.now();
    const QuarantineState state = m_history->quarantine.crashed(context.digest, ranAlone, now);
    m_hooks.crashed(CrashReport({.requestId = context.requestId,
                                 .requestDigest = context.digest,
                                 .service = context.service,
                                 .ranAlone = ranAlone,
                                 .state = state,
                                 .remaining = m_history->quarantine.remaining(context.digest, now)}));
}

asio::awaitable<void> AdmissionService::Core::idle(std::shared_ptr<Core> self)
{
    while (!self->m_gate.isIdle()) {
        const auto event = std::make_shared<detail::AsyncEvent>(self->m_executor);
        {
            const std::scoped_lock lock(self->m_idleMutex);
            self->m_idleWaiters.push_back(event);
        }
        // Checked again because the last run may have ended before the waiter was in the list.
        self->wakeIdleWaiters();
        co_await event->wait(std::nullopt);
    }
}

void AdmissionService::Core::wakeIdleWaiters()
{
    if (!m_gate.isIdle()) {
        return;
    }
    std::vector<std::shared_ptr<detail::AsyncEvent>> waiters;
    {
        const std::scoped_lock lock(m_idleMutex);
        waiters.swap(m_idleWaiters);
    }
    for (const auto &waiter : waiters) {
        waiter->set();
    }
}

void AdmissionService::Core::abandonWaiting()
{
    std::vector<std::shared_ptr<detail::AsyncEvent>> waiters;
    m_waiting.forEach([&](std::uint64_t, const auto &waiter) { waiters.push_back(waiter); });
    {
        const std::scoped_lock lock(m_idleMutex);
        waiters.insert(waiters.end(), m_idleWaiters.begin(), m_idleWaiters.end());
        m_idleWaiters.clear();
    }
    for (const auto &waiter : waiters) {
        waiter->abandon();
    }
}

AdmissionService::Core::RequestContext AdmissionService::Core::contextOf(const wire::CallRequest &request)
{
    const core::TimePoint now = m_hooks.now();
    RequestContext context;
    context.id = m_nextId++;
    if (m_settings.areControlsOn) {
        context.digest = core::requestDigest(request->method, request->target, request->body, request->workspace);
    }
    context.arrivedAt = now;
    context.deadline = now + request->remaining;
    context.requestId = request->requestId;
    context.service = request->service;
    return context;
}

QueueEntry AdmissionService::Core::entryOf(const RequestContext &context, const wire::CallRequest &request) const
{
    QueueEntryFields fields;
    fields.id = context.id;
    fields.workspace = request->workspace;
    fields.weight = m_hooks.weightOf(request->workspace);
    fields.priority = request->priority;
    fields.isNested = request->isNested;
    fields.arrivedAt = context.arrivedAt;
    fields.deadline = context.deadline;
    if (request->isNested && request->rootRemaining > core::Duration::zero()) {
        fields.rootDeadline = context.arrivedAt + request->rootRemaining;
    }
    return QueueEntry(std::move(fields));
}

bool AdmissionService::Core::isKeyWithdrawn(const wire::CallRequest &request) const
{
    return request->keyDigest && m_hooks.isKeyWithdrawn(*request->keyDigest);
}

void AdmissionService::Core::release(const RunReport &report)
{
    wake(m_gate.finish(report, m_hooks.now()));
    armStartTimer();
    wakeIdleWaiters();
}

void AdmissionService::Core::wake(const std::vector<std::uint64_t> &ids)
{
    for (const std::uint64_t id : ids) {
        if (const auto waiter = m_waiting.find(id)) {
            (*waiter)->set();
        }
    }
}

void AdmissionService::Core::setSlots(std::uint32_t slots)
{
    wake(m_gate.setSlots(slots, m_hooks.now()));
    armStartTimer();
}

void AdmissionService::Core::setCold(const ColdLimit &cold)
{
    wake(m_gate.setCold(cold, m_hooks.now()));
    armStartTimer();
}

void AdmissionService::Core::armStartTimer()
{
    const core::TimePoint now = m_hooks.now();
    if (const auto next = m_gate.nextStartAt(now)) {
        m_startTimer->set(*next, now, [weak = weak_from_this()] {
            if (const std::shared_ptr<Core> core = weak.lock()) {
                core->wake(core->m_gate.tick(core->m_hooks.now()));
                core->armStartTimer();
            }
        });
    }
}

void AdmissionService::Core::startDrain(const std::shared_ptr<Core> &self)
{
    if (!self->m_gate.startDrain(self->m_hooks.now())) {
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(self->m_executor, self->m_settings.drainStartWindow);
    timer->async_wait([timer, weak = std::weak_ptr<Core>(self)](const boost::system::error_code &error) {
        const std::shared_ptr<Core> core = weak.lock();
        if (!error && core) {
            core->retire();
        }
    });
}

void AdmissionService::Core::retire()
{
    wake(m_gate.retire());
}

void AdmissionService::Core::setEvacuated(bool isEvacuated)
{
    wake(m_gate.setEvacuated(isEvacuated, m_hooks.now()));
}

AdmissionState AdmissionService::Core::state() const
{
    AdmissionStateFields fields = m_gate.state(m_hooks.now());
    fields.counters = m_history->totals.counters();
    return AdmissionState(fields);
}

}
