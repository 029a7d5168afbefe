#include "berylspring/node/dispatcher.h"

#include "berylspring/retry/failure.h"
#include "berylspring/routing/eligibility.h"
#include "berylspring/wire/call_time.h"
#include "node/departed_endpoints.h"

#include <algorithm>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::node {

namespace {

namespace asio = boost::asio;
using core::Outcome;
using core::Refusal;
using core::RefusalReason;

constexpr core::Duration InitialBackoff = std::chrono::milliseconds(2);
constexpr core::Duration MaxBackoff = std::chrono::milliseconds(100);
constexpr core::Duration OverloadRetryAfter = std::chrono::seconds(1);
/** A node without capacity refuses at once, so trying other nodes costs little and puts no load on endpoints. */
constexpr std::uint32_t MaxReroutes = 2;
/**
 * Queueing times add up along a chain of calls, and a root request that misses its deadline wastes all work done for
 * it. Nested calls therefore accept a remote data centre at a lower load difference than root requests.
 */
constexpr double NestedRemoteCost = 1.5;
/** An endpoint abandons its nested calls shortly before its own deadline. */
constexpr double TimeoutFraction = 0.8;
/** The endpoint's node may respond as late as the deadline; this leaves time for the response to arrive. */
constexpr core::Duration ResponseMargin = std::chrono::milliseconds(50);

wire::CallResponse refused(const Refusal &refusal)
{
    return wire::CallResponse({.refusal = refusal});
}

/** @return Refusal for a routing decision without an endpoint. */
Refusal refusalOf(const routing::RoutingDecision &decision, bool wasShed)
{
    if (wasShed) {
        return Refusal(RefusalReason::Overloaded, Outcome::NotRun, "endpoints admit only higher priorities")
            .withRetryAfter(OverloadRetryAfter);
    }
    std::string detail = "no endpoint can take the request";
    for (const routing::Exclusion &exclusion : decision.exclusions) {
        detail += ", " + exclusion.host.value() + ": " + std::string(routing::toString(exclusion.reason));
    }
    return Refusal(RefusalReason::NoEndpoint, Outcome::NotRun, detail).withRetryAfter(OverloadRetryAfter);
}

bool isAnyEvacuated(const routing::RoutingDecision &decision)
{
    return std::any_of(decision.exclusions.begin(), decision.exclusions.end(), [](const routing::Exclusion &exclusion) {
        return exclusion.reason == routing::ExclusionReason::Evacuated;
    });
}

routing::RoutingResult resultOf(const wire::CallResponse &response)
{
    if (!response->refusal) {
        // 502 to 504 report a failure further downstream, or shed load, and do not indicate the health of this
        // endpoint.
        constexpr std::uint16_t InternalError = 500;
        return response->status == InternalError ? routing::RoutingResult::Failed : routing::RoutingResult::Ok;
    }
    switch (response->refusal->reason()) {
    case RefusalReason::ConnectionLost:
    case RefusalReason::NoEndpoint:
        return routing::RoutingResult::Failed;
    case RefusalReason::DeadlineExceeded:
        return response->refusal->outcome() == Outcome::Unknown ? routing::RoutingResult::Failed
                                                                : routing::RoutingResult::Refused;
    default:
        return routing::RoutingResult::Refused;
    }
}

/** @brief Adds what the response tells about the work of its endpoint. */
void recordWork(const wire::CallResponse &response, routing::WorkReport &report)
{
    // A refusal made by this node, for example after a lost connection, has none of these figures.
    report.hasAnswer = !response->refusal || response->outstandingWork > 0 || response->pace > 0;
    report.serviceTime = routing::showsCost(response->status) ? response->serviceTime : core::Duration::zero();
    report.outstandingWork = response->outstandingWork;
    report.pace = response->pace;
}

/** @brief Whether the response is a refusal or has a final status. */
bool hasResult(const wire::CallResponse &response)
{
    constexpr std::uint16_t FirstFinalStatus = 200;
    return response->refusal || response->status >= FirstFinalStatus;
}

Refusal refusalOf(const wire::Error &error)
{
    const Outcome outcome = error.maybeSent() ? Outcome::Unknown : Outcome::NotRun;
    const RefusalReason reason =
        error.code() == wire::ErrorCode::Timeout ? RefusalReason::DeadlineExceeded : RefusalReason::ConnectionLost;
    return {reason, outcome, error.detail()};
}

}

struct Dispatcher::Attempts
{
    core::TimePoint deadline;
    std::vector<core::HostId> hosts; ///< Hosts tried so far.
    std::uint32_t retries = 0; ///< Retries used here and by nested calls.
    std::uint32_t reroutes = 0; ///< Attempts that a node refused before the request reached its endpoint.
    bool mayHaveRun = false;
    double pressure = 0; ///< Reported by the last response.
    bool isSuspect = false; ///< An endpoint crashed while it ran the request.
    bool wasShed = false; ///< An endpoint was excluded because it admits only higher priorities.
};

Dispatcher::Dispatcher(core::HostId self,
                       core::DataCentreId dataCentre,
                       bool areControlsOn,
                       DispatcherHooks hooks,
                       const routing::RouterSettings &routing)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_areControlsOn(areControlsOn)
    , m_hooks(std::move(hooks))
    , m_router({.random = m_hooks.random, .policyChanged = m_hooks.policyChanged}, routing)
    , m_budgets(m_hooks.retryBounds)
    , m_backoff(InitialBackoff, MaxBackoff)
    , m_shedding(m_hooks.random)
{
}

asio::awaitable<wire::CallResponse> Dispatcher::dispatch(wire::CallRequest call)
{
    Attempts attempts{.deadline = m_hooks.now() + call->remaining};
    while (true) {
        const core::TimePoint now = m_hooks.now();
        const core::Duration remaining = attempts.deadline - now;
        const routing::RoutingDecision decision = chooseEndpoint(call, attempts, now);
        Refusal refusal(RefusalReason::DeadlineExceeded, Outcome::NotRun, "no time is left for the request");
        if (remaining > core::Duration::zero() && !decision.host) {
            refusal = refusalOf(decision, attempts.wasShed);
            m_evacuatedRefusals += isAnyEvacuated(decision) ? 1 : 0;
        } else if (remaining > core::Duration::zero()) {
            attempts.hosts.push_back(*decision.host);
            const wire::CallRequest sent =
                wire::withTimes(call, remaining, call->remaining - remaining)
                    .with(&wire::CallRequestFields::isSuspect, call->isSuspect || attempts.isSuspect)
                    .with(&wire::CallRequestFields::retryAllowance,
                          call->retryAllowance - std::min(call->retryAllowance, attempts.retries));
            wire::CallResponse response = co_await attempt(sent, *decision.host);
            attempts.retries += response->retriesSpent;
            attempts.pressure = response->pressure;
            attempts.isSuspect = attempts.isSuspect || response->hasEndpointCrashed;
            if (!response->refusal) {
                m_budgets.onSuccess(call->service);
                countNestedCall(call, Outcome::Answered);
                co_return std::move(response).with(&wire::CallResponseFields::retriesSpent, attempts.retries);
            }
            refusal = *response->refusal;
            attempts.mayHaveRun = attempts.mayHaveRun || refusal.outcome() == Outcome::Unknown;
            if (mayReroute(call, refusal, attempts)) {
                ++attempts.reroutes;
                continue;
            }
            if (mayRetry(call, refusal, attempts)) {
                ++attempts.retries;
                m_hooks.retried();
                co_await backOffBeforeRetry(attempts);
                continue;
            }
        }
        const Outcome outcome = attempts.mayHaveRun ? Outcome::Unknown : refusal.outcome();
        countNestedCall(call, outcome);
        wire::CallResponseFields fields;
        fields.refusal = refusal.withOutcome(outcome);
        fields.retriesSpent = attempts.retries;
        fields.pressure = attempts.pressure;
        co_return wire::CallResponse(std::move(fields));
    }
}

routing::RoutingRequest Dispatcher::routingRequestOf(const wire::CallRequest &call) const
{
    routing::RoutingRequest request{.service = call->service,
                                    .dataCentre = m_dataCentre,
                                    .priority = call->priority,
                                    .costClass = routing::costClassOf(call->route, call->method),
                                    .liveNodes = m_hooks.liveNodes ? m_hooks.liveNodes() : 1};
    if (m_hooks.evacuatedDataCentres) {
        request.evacuatedDataCentres = *m_hooks.evacuatedDataCentres();
    }
    if (call->isNested) {
        request.remoteCost = NestedRemoteCost;
    }
    return request;
}

routing::RouteExplanation
Dispatcher::explain(const wire::CallRequest &call, const core::DataCentreId &dataCentre, core::TimePoint now) const
{
    EndpointViews endpoints = *m_hooks.endpoints(call->service);
    routing::RoutingRequest request = routingRequestOf(call);
    request.dataCentre = dataCentre;
    if (m_areControlsOn && !call->isNested) {
        for (routing::EndpointView &endpoint : endpoints) {
            const core::PriorityLevel level = m_shedding.level({endpoint->host, call->service}, now);
            if (level > endpoint->admittedLevel) {
                endpoint = endpoint.with(&routing::EndpointViewFields::admittedLevel, level);
            }
        }
    }
    return m_router.explain(request, endpoints, now);
}

routing::RoutingDecision
Dispatcher::chooseEndpoint(const wire::CallRequest &call, Attempts &attempts, core::TimePoint now)
{
    const std::shared_ptr<const EndpointViews> endpoints = m_hooks.endpoints(call->service);
    routing::RoutingRequest request = routingRequestOf(call);
    request.excludedHosts = attempts.hosts;
    // Admission levels shed new work only; a nested call continues work that was already admitted.
    if (m_areControlsOn && !call->isNested) {
        for (const routing::EndpointView &endpoint : *endpoints) {
            // An endpoint that takes no requests at all is no reason to report that requests are shed.
            if (!routing::isEvacuated(request, endpoint)
                && !m_shedding.admits({endpoint->host, call->service}, call->priority, now)) {
                request.excludedHosts.push_back(endpoint->host);
                attempts.wasShed = true;
            }
        }
    }
    return m_router.choose(request, *endpoints, now);
}

asio::awaitable<wire::CallResponse> Dispatcher::attempt(wire::CallRequest call, core::HostId host)
{
    /** Records the end of the attempt, also if the caller disconnects and the coroutine is destroyed. */
    struct AttemptScope
    {
        Dispatcher &dispatcher;
        const wire::CallRequest &call;
        const core::HostId &host;
        core::TimePoint startedAt;
        routing::RoutingResult result = routing::RoutingResult::Refused;
        std::uint32_t inFlight = 0;
        std::optional<double> pressure; ///< Reported by the response.
        routing::WorkReport report;
        core::Duration runTime{}; ///< On the endpoint, also if the response is an error.

        ~AttemptScope()
        {
            const core::TimePoint now = dispatcher.m_hooks.now();
            const core::Duration time = now - startedAt;
            report.waitTime = time - runTime;
            dispatcher.m_router.finished(call->service, host, result, time, inFlight, now, report);
            if (call->isNested) {
                dispatcher.recordNestedPressure(
                    call->service, pressure, time >= call->remaining * TimeoutFraction, now);
            }
        }
    };
    const core::TimePoint startedAt = m_hooks.now();
    AttemptScope scope{*this, call, host, startedAt};
    scope.report.costClass = routing::costClassOf(call->route, call->method);
    scope.report.expectedCost = m_router.started(call->service, host, startedAt, scope.report.costClass);
    const auto parent = telemetry::TraceContext::fromTraceParent(call->traceParent);
    const telemetry::TraceContext trace = parent ? parent->child(m_hooks.random) : telemetry::TraceContext();
    const core::WallTime start = std::chrono::system_clock::now();
    const wire::CallRequest traced =
        parent ? call.with(&wire::CallRequestFields::traceParent, trace.traceParent()) : call;
    wire::CallResponse response = co_await send(traced, host);
    if (trace.isSampled()) {
        m_hooks.spans(telemetry::Span({.context = trace,
                                       .parentSpanId = parent->spanId(),
                                       .name = "hop",
                                       .start = start,
                                       .end = std::chrono::system_clock::now(),
                                       .isError = response->refusal.has_value(),
                                       .attributes = {{"peer", host.value()}, {"service", call->service.value()}}}));
    }
    scope.result = resultOf(response);
    scope.inFlight = response->inFlight;
    scope.runTime = response->serviceTime;
    recordWork(response, scope.report);
    // A refusal made by this node, for example after a lost connection, carries no information about the service.
    if (!response->refusal || response->pressure > 0) {
        scope.pressure = response->pressure;
    }
    m_shedding.recordLevel({host, call->service}, response->admittedLevel, m_hooks.now());
    co_return response;
}

void Dispatcher::recordNestedPressure(const core::ServiceId &service,
                                      std::optional<double> reported,
                                      bool hasTimedOut,
                                      core::TimePoint now)
{
    // Abandoned calls yield no response. Without this sample, the pressure would drop to zero just when all calls fail.
    const std::optional<double> sample = hasTimedOut && !reported ? admission::Pressure::MaxSample : reported;
    if (!sample) {
        return;
    }
    m_nestedPressure.update(service, [&](std::optional<admission::Pressure> &pressure) {
        pressure = pressure.value_or(admission::Pressure()).withSample(*sample, now);
    });
}

void Dispatcher::countNestedCall(const wire::CallRequest &call, Outcome outcome)
{
    if (!call->isNested) {
        return;
    }
    m_nestedCalls.update(call->service, [&](std::optional<NestedCallCounts> &known) {
        NestedCallCounts counts = known.value_or(NestedCallCounts());
        counts.answered += outcome == Outcome::Answered ? 1 : 0;
        counts.notRun += outcome == Outcome::NotRun ? 1 : 0;
        counts.unknown += outcome == Outcome::Unknown ? 1 : 0;
        known = counts;
    });
}

std::map<core::ServiceId, NestedCallCounts> Dispatcher::nestedCalls() const
{
    std::map<core::ServiceId, NestedCallCounts> calls;
    m_nestedCalls.forEach(
        [&](const core::ServiceId &service, const NestedCallCounts &counts) { calls.emplace(service, counts); });
    return calls;
}

void Dispatcher::forgetDeparted(const membership::MemberSnapshot &members)
{
    for (const routing::KnownEndpoint &endpoint : detail::departedEndpoints(m_router.knownEndpoints(), members)) {
        m_router.forget(endpoint.service, endpoint.host);
    }
}

double Dispatcher::nestedPressure(core::TimePoint now) const
{
    double highest = 0;
    m_nestedPressure.forEach([&](const core::ServiceId &, const admission::Pressure &pressure) {
        highest = std::max(highest, pressure.value(now));
    });
    return highest;
}

asio::awaitable<wire::CallResponse> Dispatcher::send(wire::CallRequest call, core::HostId host)
{
    if (host == m_self) {
        co_return co_await m_hooks.runLocally(std::move(call));
    }
    const core::Duration timeout = call->remaining + call->answerGrace + ResponseMargin;
    wire::Message message(std::move(call));
    wire::Result<wire::Message> answer = co_await m_hooks.call(std::move(host), std::move(message), timeout);
    if (!answer) {
        co_return refused(refusalOf(answer.error()));
    }
    auto *response = std::get_if<wire::CallResponse>(&*answer);
    if (response != nullptr && hasResult(*response)) {
        co_return std::move(*response);
    }
    co_return refused(
        Refusal(RefusalReason::ConnectionLost, Outcome::Unknown, "unexpected answer of the endpoint's node"));
}

bool Dispatcher::mayReroute(const wire::CallRequest &call, const Refusal &refusal, const Attempts &attempts)
{
    // A root request that finds no capacity is refused at once rather than sent on to other data centres. Where no
    // connection was made, nothing was sent, so that another node costs no retry.
    const bool hasNotArrived = refusal.reason() == RefusalReason::Draining
                               || refusal.reason() == RefusalReason::ConnectionLost
                               || (refusal.reason() == RefusalReason::Overloaded && call->isNested);
    return refusal.outcome() == Outcome::NotRun && hasNotArrived && attempts.reroutes < MaxReroutes;
}

bool Dispatcher::mayRetry(const wire::CallRequest &call, const Refusal &refusal, const Attempts &attempts)
{
    const retry::Failure failure(refusal, retry::FailureOrigin::NextHop);
    const bool isAllowed = attempts.retries < call->retryAllowance && retry::isRetryable(failure, call->isIdempotent);
    if (!isAllowed || !m_areControlsOn) {
        return isAllowed;
    }
    return m_budgets.tryTakeRetry(call->service);
}

asio::awaitable<void> Dispatcher::backOffBeforeRetry(const Attempts &attempts)
{
    const core::Duration remaining = attempts.deadline - m_hooks.now();
    const auto pause = m_backoff.pause(attempts.retries - 1, remaining, m_hooks.random());
    if (pause) {
        asio::steady_timer timer(co_await asio::this_coro::executor, *pause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

}
