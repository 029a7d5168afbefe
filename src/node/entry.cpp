#include "berylspring/node/entry.h"

#include "berylspring/core/jitter.h"
#include "berylspring/idempotency/claim_name.h"
#include "berylspring/telemetry/log.h"
#include "node/milliseconds.h"

#include <algorithm>

namespace berylspring::node {

namespace {

namespace asio = boost::asio;
using core::Outcome;
using core::Refusal;
using core::RefusalReason;
using detail::milliseconds;

wire::CallResponse refused(const Refusal &refusal)
{
    return wire::CallResponse({.refusal = refusal});
}

/**
 * `not-run` covers every send with the same idempotency key. Other nodes may have forwarded earlier sends, and only the
 * home of the key knows of them, so a refusal that is made before the home is asked reports Unknown.
 */
Refusal refusalBeforeHome(const Refusal &refusal, const http::CallerRequest &request, const CallPlan &plan)
{
    const bool mayHaveOtherSends = !plan->isIdempotent && request->idempotencyKey;
    return mayHaveOtherSends ? refusal.withOutcome(Outcome::Unknown) : refusal;
}

/** As refusalBeforeHome(), for a request whose claim name is unknown because it has no plan. */
Refusal refusalWithoutPlan(const Refusal &refusal, const http::CallerRequest &request, bool isKeyWithdrawn)
{
    if (!request->idempotencyKey) {
        return refusal;
    }
    const RefusalReason reason = refusal.reason();
    const bool cannotHaveEarlierSend = reason == RefusalReason::KeyMissing || reason == RefusalReason::BadRequest
                                       || (reason == RefusalReason::KeyInvalid && !isKeyWithdrawn);
    return cannotHaveEarlierSend ? refusal : refusal.withOutcome(Outcome::Unknown);
}

/** Time in which a caller finds another node after this one refused a request because it stops. */
constexpr core::Duration StoppingRetryAfter = std::chrono::milliseconds(50);

Refusal stoppingRefusal(std::uint64_t random)
{
    const Refusal refusal(RefusalReason::Draining, Outcome::NotRun, "the node stops before the request could end");
    return refusal.withRetryAfter(core::withJitter(StoppingRetryAfter, StoppingRetryAfter, random));
}

/** @brief Counts a nested call while it is in flight, also if its coroutine is destroyed. */
class NestedCallScope
{
public:
    NestedCallScope(std::atomic<std::uint32_t> &count, bool isNested)
        : m_count(isNested ? &count : nullptr)
    {
        if (m_count != nullptr) {
            ++*m_count;
        }
    }
    ~NestedCallScope()
    {
        if (m_count != nullptr) {
            --*m_count;
        }
    }
    NestedCallScope(const NestedCallScope &) = delete;
    NestedCallScope &operator=(const NestedCallScope &) = delete;

private:
    std::atomic<std::uint32_t> *m_count;
};

/** @brief Reserves a part of the parent's retry allowance for the duration of a nested call. */
class RetryReservation
{
public:
    RetryReservation(InFlightTable &table, const http::CallerRequest &request, std::uint32_t ownAllowance)
        : m_table(table)
        , m_token(request->contextToken)
        , m_amount(m_token ? table.reserveRetryAllowance(*m_token) : ownAllowance)
    {
    }
    ~RetryReservation()
    {
        if (m_token) {
            m_table.settleRetryAllowance(*m_token, m_amount, m_spent);
        }
    }
    RetryReservation(const RetryReservation &) = delete;
    RetryReservation &operator=(const RetryReservation &) = delete;

    [[nodiscard]] std::uint32_t amount() const noexcept
    {
        return m_amount;
    }
    void setSpent(std::uint32_t spent) noexcept
    {
        m_spent = spent;
    }

private:
    InFlightTable &m_table;
    std::optional<std::string> m_token;
    std::uint32_t m_amount;
    std::uint32_t m_spent = m_amount; ///< A cancelled call may have used all of it.
};

}

Entry::Entry(InFlightTable &inFlight, telemetry::Metrics &metrics, EntrySettings settings, EntryHooks hooks)
    : m_inFlight(inFlight)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_rootControl(m_settings.roots, m_hooks.random, m_hooks.roots)
{
}

asio::awaitable<wire::CallResponse> Entry::call(http::CallerRequest request)
{
    const core::TimePoint startedAt = m_hooks.now();
    const core::WallTime start = std::chrono::system_clock::now();
    const telemetry::TraceContext trace = traceOf(request);
    Summary summary;
    wire::CallResponse response = co_await run(request, trace, summary);
    finish(request, response, summary, m_hooks.now() - startedAt);
    if (trace.isSampled()) {
        const auto parent = telemetry::TraceContext::fromTraceParent(request->traceParent);
        m_hooks.spans(telemetry::Span({.context = trace,
                                       .parentSpanId = parent ? parent->spanId() : 0,
                                       .name = "entry",
                                       .start = start,
                                       .end = std::chrono::system_clock::now(),
                                       .isError = response->refusal.has_value(),
                                       .attributes = {{"method", request->method}}}));
    }
    co_return response;
}

asio::awaitable<wire::CallResponse>
Entry::run(http::CallerRequest request, telemetry::TraceContext trace, Summary &summary)
{
    const core::TimePoint startedAt = m_hooks.now();
    const auto unlimited = this->plan(request, startedAt);
    if (!unlimited) {
        const bool isKeyWithdrawn = request->key && m_hooks.isKeyWithdrawn(core::sha256(*request->key));
        co_return refused(refusalWithoutPlan(unlimited.error(), request, isKeyWithdrawn));
    }
    summary.priority = (*unlimited)->priority;
    const auto plan = planWithinStop(*unlimited, startedAt);
    if (!plan) {
        co_return refused(refusalBeforeHome(plan.error(), request, *unlimited));
    }
    if (!(*plan)->isNested) {
        const auto admitted = co_await admit(request, *plan, summary);
        if (!admitted) {
            co_return refused(refusalBeforeHome(admitted.error(), request, *plan));
        }
    }
    const NestedCallScope scope(m_nestedInFlight, (*plan)->isNested);
    RetryReservation allowance(m_inFlight, request, (*plan)->retries);
    const core::Duration remaining = (*plan)->timeout - (m_hooks.now() - startedAt);
    wire::CallRequest call({.service = (*plan)->service,
                            .route = (*plan)->route,
                            .method = request->method,
                            .target = request->target,
                            .headers = request->headers,
                            .body = request->body,
                            .workspace = (*plan)->workspace,
                            .keyDigest = (*plan)->keyDigest,
                            .priority = (*plan)->priority,
                            .isNested = (*plan)->isNested,
                            .isIdempotent = (*plan)->isIdempotent,
                            .remaining = remaining,
                            .retryAllowance = allowance.amount(),
                            .traceParent = trace.traceParent(),
                            .requestId = request->requestId,
                            .answerGrace = (*plan)->answerGrace,
                            .rootRemaining = rootRemaining(request, *plan, startedAt)});
    const core::TimePoint sentAt = m_hooks.now();
    wire::CallResponse response = co_await forward(std::move(call), request, *plan);
    const core::TimePoint endedAt = m_hooks.now();
    allowance.setSpent(response->retriesSpent);
    m_rootControl.recordPace(response, endedAt);
    if ((*plan)->isNested) {
        recordNestedTime(*plan, response, endedAt - sentAt);
        co_return response;
    }
    m_rootControl.recordResult(*plan, response, endedAt - sentAt, endedAt);
    if (!response->refusal) {
        co_return response;
    }
    const core::Duration left = (*plan)->timeout - (endedAt - startedAt);
    const RootRefusal refusal = m_rootControl.withReturnTime(*response->refusal, request, *plan, left, endedAt);
    summary.isPromised = refusal.isPromised;
    co_return std::move(response).with(&wire::CallResponseFields::refusal, refusal.refusal);
}

tl::expected<CallPlan, Refusal> Entry::planWithinStop(const CallPlan &plan, core::TimePoint now) const
{
    const std::optional<StopSchedule> stop = m_hooks.stopSchedule();
    if (!stop) {
        return plan;
    }
    const core::Duration timeForNested = stop->timeForNested(now);
    // A refused nested call wastes the work of its root request, so the time that it is expected to take counts.
    const bool isAccepted =
        plan->isNested ? expectedNestedTime(plan) <= timeForNested : stop->accepts(plan->timeout, now);
    if (!isAccepted) {
        return tl::unexpected(stoppingRefusal(m_hooks.random()));
    }
    if (!plan->isNested || plan->timeout <= timeForNested) {
        return plan;
    }
    return plan.with(&CallPlanFields::timeout, timeForNested).with(&CallPlanFields::answerGrace, stop->answerGrace());
}

core::Duration
Entry::rootRemaining(const http::CallerRequest &request, const CallPlan &plan, core::TimePoint startedAt) const
{
    const core::TimePoint now = m_hooks.now();
    if (!plan->isNested) {
        return core::Duration::zero();
    }
    if (request->contextToken) {
        // The timeout of the caller ends with its own request. From the second hop on, the root has more time than
        // that.
        const std::optional<InFlight> parent = m_inFlight.find(*request->contextToken);
        return parent ? std::max(core::Duration::zero(), (*parent)->rootDeadline - now) : core::Duration::zero();
    }
    // Without a token, the root is not known to this node, and the timeout of the caller is the closest to its time.
    const core::Duration timeout = request->timeout.value_or(core::Duration::zero());
    return std::max(core::Duration::zero(), timeout - (now - startedAt));
}

core::Duration Entry::expectedNestedTime(const CallPlan &plan) const
{
    const auto known = m_nestedTimes.find(plan->route);
    return known ? std::min(known->upperEstimate(), plan->timeout) : plan->timeout;
}

void Entry::recordNestedTime(const CallPlan &plan, const wire::CallResponse &response, core::Duration time)
{
    // The time until a deadline is a lower bound of the time of the call; other refusals tell nothing about it.
    const bool isSample = !response->refusal || response->refusal->reason() == RefusalReason::DeadlineExceeded;
    if (isSample) {
        m_nestedTimes.update(
            plan->route, [&](std::optional<CallTime> &known) { known = known.value_or(CallTime()).withSample(time); });
    }
}

asio::awaitable<tl::expected<void, Refusal>>
Entry::admit(const http::CallerRequest &request, const CallPlan &plan, Summary &summary)
{
    // Checked before the rate limit, so that a shed request uses no token of its workspace.
    const std::optional<RootRefusal> shed = m_rootControl.admit(request, plan, m_hooks.now());
    if (shed) {
        summary.isPromised = shed->isPromised;
        summary.workspaceShedShare = shed->workspaceShedShare;
        co_return tl::unexpected(shed->refusal);
    }
    if (plan->workspace.isEmpty()) {
        co_return tl::expected<void, Refusal>();
    }
    co_return co_await m_hooks.admit(plan->workspace);
}

asio::awaitable<wire::CallResponse> Entry::forward(wire::CallRequest call, http::CallerRequest request, CallPlan plan)
{
    // Without an idempotency key there is no other send to deduplicate against, so the request is dispatched directly.
    if (plan->isIdempotent || !request->idempotencyKey) {
        co_return co_await m_hooks.dispatch(std::move(call));
    }
    const std::string name = idempotency::claimName(plan->workspace, plan->route, *request->idempotencyKey);
    co_return co_await m_hooks.runOnce(std::move(call).with(&wire::CallRequestFields::claimName, name));
}

tl::expected<CallPlan, Refusal> Entry::plan(const http::CallerRequest &request, core::TimePoint now)
{
    // Read before the catalogue, so that the catalogue is at least as recent as the age says.
    const core::Duration age = m_hooks.configurationAge();
    const std::shared_ptr<const config::Catalogue> catalogue = m_hooks.catalogue();
    if (!catalogue) {
        return tl::unexpected(Refusal(RefusalReason::NotReady, Outcome::NotRun, "the node has no configuration yet"));
    }
    const PlanContext context{.catalogue = *catalogue,
                              .parent = request->contextToken ? m_inFlight.find(*request->contextToken) : std::nullopt,
                              .isKeyWithdrawn = m_hooks.isKeyWithdrawn,
                              .configurationAge = age,
                              .denialStaleness = m_settings.denialStaleness,
                              .chooseService = [this](const config::Route &route) {
                                  return m_splitter.choose(route->name, route->services);
                              }};
    return planCall(request, context, now);
}

telemetry::TraceContext Entry::traceOf(const http::CallerRequest &request) const
{
    const auto parent = telemetry::TraceContext::fromTraceParent(request->traceParent);
    return parent ? parent->child(m_hooks.random)
                  : telemetry::TraceContext::root(m_hooks.random, m_settings.sampleRatio);
}

void Entry::finish(const http::CallerRequest &request,
                   const wire::CallResponse &response,
                   const Summary &summary,
                   core::Duration time)
{
    m_metrics.observe(telemetry::Hop::Entry, time);
    if (response->refusal) {
        const Refusal &refusal = *response->refusal;
        m_metrics.countRequest(refusal.outcome(), refusal.reason(), summary.priority);
        const std::shared_ptr<const config::Catalogue> catalogue = m_hooks.catalogue();
        const auto offset = catalogue ? static_cast<std::int64_t>(catalogue->appliedOffset()) : std::int64_t{0};
        telemetry::logRequestEvent(
            "request refused",
            {{"request", request->requestId},
             {"target", request->target},
             {"outcome", std::string(core::toString(refusal.outcome()))},
             {"reason", std::string(core::toString(refusal.reason()))},
             {"detail", refusal.detail()},
             {"priority", std::int64_t{summary.priority}},
             {"retry_after_ms", milliseconds(refusal.retryAfter().value_or(core::Duration::zero()))},
             {"is_promised", summary.isPromised},
             {"workspace_shed_share", summary.workspaceShedShare},
             {"configuration_offset", offset},
             {"configuration_age_ms", milliseconds(m_hooks.configurationAge())},
             {"retries", std::int64_t{response->retriesSpent}},
             {"ms", milliseconds(time)}},
            m_hooks.now());
    } else {
        m_metrics.countRequest(Outcome::Answered, std::nullopt, summary.priority);
    }
}

}
