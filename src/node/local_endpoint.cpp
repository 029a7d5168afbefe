#include "berylspring/node/local_endpoint.h"

#include "berylspring/core/clock.h"
#include "berylspring/telemetry/log.h"

#include <algorithm>

namespace berylspring::node {

namespace {

namespace asio = boost::asio;

/** Short, because the kernel of this host refuses connections to a crashed endpoint within milliseconds. */
constexpr core::Duration CrashProbeTimeout = std::chrono::milliseconds(200);

/**
 * Bytes of all answers that are being read; more if a single answer of the size limit needs it, which gets half. A body
 * that grows in pieces may take three times its size with what the allocator keeps, and the smallest hosts give a
 * process 160 MB.
 */
constexpr std::uint64_t MinBodyBudgetBytes = 32ULL * 1024 * 1024;

/** Bounds how long bytes that an endpoint sends on an idle connection stay unread. */
constexpr core::Duration IdleCheckInterval = std::chrono::seconds(1);

using core::Outcome;
using core::Refusal;
using core::RefusalReason;

admission::EndpointResult failed(const Refusal &refusal, bool isConnectionLost)
{
    return {.response = wire::CallResponse({.refusal = refusal}),
            .connectionLost = isConnectionLost,
            .maybeSent = refusal.outcome() != Outcome::NotRun};
}

admission::EndpointResult resultOf(const http::Error &error)
{
    const Outcome outcome = error.maybeSent() ? Outcome::Unknown : Outcome::NotRun;
    switch (error.code()) {
    case http::ErrorCode::Timeout:
        return failed(Refusal(RefusalReason::DeadlineExceeded, outcome, "the endpoint did not answer in time"), false);
    case http::ErrorCode::Unreachable:
    case http::ErrorCode::InvalidAddress:
        return failed(Refusal(RefusalReason::NoEndpoint, outcome, error.detail()), false);
    case http::ErrorCode::TooLarge:
    case http::ErrorCode::Malformed:
        return failed(
            Refusal(RefusalReason::ConnectionLost, outcome, "the endpoint's answer is not usable: " + error.detail()),
            false);
    case http::ErrorCode::ConnectionLost:
        break;
    }
    return failed(Refusal(RefusalReason::ConnectionLost, outcome, "the connection to the endpoint was lost"),
                  error.maybeSent());
}

/** @return The leave that a draining heartbeat announces. */
http::EndpointLeave leaveOf(const http::EndpointHeartbeat &heartbeat)
{
    const http::EndpointAnnouncement &announcement = heartbeat.announcement;
    // Without an incarnation, the next start of the endpoint could not be told from the one that drains.
    return announcement.incarnation == 0 ? http::EndpointLeave()
                                         : http::EndpointLeave{announcement.id, announcement.incarnation};
}

/** @brief RAII entry of a running request in the in-flight table. */
class InFlightEntry
{
public:
    InFlightEntry(InFlightTable &table, InFlight request)
        : m_table(table)
        , m_token(table.add(std::move(request)))
    {
    }
    ~InFlightEntry()
    {
        m_table.remove(m_token);
    }
    InFlightEntry(const InFlightEntry &) = delete;
    InFlightEntry &operator=(const InFlightEntry &) = delete;

    [[nodiscard]] const std::string &token() const noexcept
    {
        return m_token;
    }
    [[nodiscard]] std::uint32_t retriesSpent() const
    {
        const auto request = m_table.find(m_token);
        return request ? (*request)->retriesSpent : 0;
    }

private:
    InFlightTable &m_table;
    std::string m_token;
};

}

LocalEndpoint::LocalEndpoint(asio::any_io_executor executor,
                             std::uint64_t maxBodyBytes,
                             const Protocols &protocols,
                             InFlightTable &inFlight,
                             core::RandomSource random,
                             telemetry::SpanSink spans,
                             LocalEndpointHooks hooks)
    : m_executor(std::move(executor))
    , m_maxBodyBytes(maxBodyBytes)
    , m_bodyBudget(std::make_shared<http::BodyBudget>(std::max(MinBodyBudgetBytes, 2 * maxBodyBytes)))
    , m_protocols(protocols)
    , m_inFlight(inFlight)
    , m_random(std::move(random))
    , m_spans(std::move(spans))
    , m_hooks(std::move(hooks))
{
}

LocalEndpoint::HeartbeatResult LocalEndpoint::heartbeat(const http::EndpointHeartbeat &heartbeat, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const HeartbeatResult result = registerHeartbeat(heartbeat, now);
    if (result != HeartbeatResult::Stale) {
        m_cold = m_cold.withHeartbeat(heartbeat.coldFor, now);
    }
    if (heartbeat.isDraining) {
        m_leaves = m_leaves.with(leaveOf(heartbeat));
    }
    return result;
}

LocalEndpoint::HeartbeatResult LocalEndpoint::registerHeartbeat(const http::EndpointHeartbeat &heartbeat,
                                                                core::TimePoint now)
{
    const http::EndpointAnnouncement &announcement = heartbeat.announcement;
    const bool isDifferent = !m_registration || m_registration->announcement.id != announcement.id;
    if (isDifferent && m_leaves.cover(announcement.id, announcement.incarnation)) {
        return HeartbeatResult::Stale;
    }
    if (!m_registration) {
        m_registration = makeRegistration(heartbeat, now);
        return HeartbeatResult::Started;
    }
    // The incarnation or sequence number of another writer may be far ahead of those of the endpoint. Without renewal
    // it must not shut the endpoint out for good. An endpoint that drains is not brought back by a late heartbeat.
    const bool isAbandoned = now - m_registration->renewedAt > AnnouncementLifetime && !m_registration->isDraining;
    if (announcement.incarnation < m_registration->announcement.incarnation) {
        if (!isAbandoned) {
            return HeartbeatResult::Stale;
        }
        m_registration = makeRegistration(heartbeat, now);
        return HeartbeatResult::Started;
    }
    // Without incarnations, an announcement that is not draining after a drain means that the endpoint has restarted.
    const bool hasStarted = m_registration->announcement != announcement
                            || (announcement.incarnation == 0 && m_registration->isDraining && !heartbeat.isDraining);
    if (hasStarted) {
        m_registration = makeRegistration(heartbeat, now);
        return HeartbeatResult::Started;
    }
    if (heartbeat.sequence != 0 && heartbeat.sequence <= m_registration->sequence && !isAbandoned) {
        return HeartbeatResult::Stale;
    }
    const bool startsDrain = heartbeat.isDraining && !m_registration->isDraining;
    m_registration->renewedAt = now;
    m_registration->sequence = heartbeat.sequence;
    m_registration->isDraining = m_registration->isDraining || heartbeat.isDraining;
    return startsDrain ? HeartbeatResult::Draining : HeartbeatResult::Renewed;
}

LocalEndpoint::Registration LocalEndpoint::makeRegistration(const http::EndpointHeartbeat &heartbeat,
                                                            core::TimePoint now) const
{
    http::ClientOptions options{.bodyLimitBytes = m_maxBodyBytes,
                                .bodyBudget = m_bodyBudget,
                                .idleCheckInterval = IdleCheckInterval,
                                .isAnswerTo = m_protocols.isAnswerTo,
                                .allowsReuse = m_protocols.allowsReuse};
    const std::string &address = heartbeat.announcement.address;
    return Registration{.announcement = heartbeat.announcement,
                        .renewedAt = now,
                        .sequence = heartbeat.sequence,
                        .isDraining = heartbeat.isDraining,
                        .client = std::make_shared<http::Client>(m_executor, address, std::move(options))};
}

void LocalEndpoint::drain()
{
    const std::scoped_lock lock(m_mutex);
    if (m_registration) {
        m_registration->isDraining = true;
    }
}

bool LocalEndpoint::leave(const http::EndpointLeave &leave)
{
    const std::scoped_lock lock(m_mutex);
    const bool isRegistered = m_registration && (leave.id.empty() || m_registration->announcement.id == leave.id);
    if (!isRegistered) {
        // A heartbeat sent before the leave may arrive after it, and there is no registration to compare it with.
        m_leaves = m_leaves.with(leave);
        return false;
    }
    const std::uint64_t incarnation = m_registration->announcement.incarnation;
    // After a drain, the end of the endpoint is known and stored already.
    if (!m_leaves.cover(leave.id, incarnation)) {
        // The clock of this host may have been set back since the endpoint started.
        m_leaves = m_leaves.with(http::EndpointLeave{leave.id, std::max(leave.lastIncarnation, incarnation)});
    }
    return true;
}

void LocalEndpoint::recordDrain(const http::EndpointHeartbeat &heartbeat)
{
    const std::scoped_lock lock(m_mutex);
    m_leaves = m_leaves.with(leaveOf(heartbeat));
}

bool LocalEndpoint::restoreLeaves(const EndpointLeaves &earlier)
{
    const std::scoped_lock lock(m_mutex);
    m_leaves = earlier.with(m_leaves);
    return m_registration && !m_registration->isDraining
           && m_leaves.cover(m_registration->announcement.id, m_registration->announcement.incarnation);
}

EndpointLeaves LocalEndpoint::leaves() const
{
    const std::scoped_lock lock(m_mutex);
    return m_leaves;
}

void LocalEndpoint::reportLoad(const http::LoadReport &report)
{
    const std::scoped_lock lock(m_mutex);
    if (m_registration) {
        m_registration->reportedRunning = report.running;
    }
}

void LocalEndpoint::takenBack(core::TimePoint now)
{
    const admission::ColdRule rule = coldLimit().rule;
    {
        const std::scoped_lock lock(m_mutex);
        m_cold = m_cold.withReturn(rule.coldTime, now);
    }
    if (m_hooks.coldChanged) {
        m_hooks.coldChanged();
    }
}

admission::ColdLimit LocalEndpoint::coldLimit() const
{
    admission::ColdLimit limit;
    core::ServiceId service;
    {
        const std::scoped_lock lock(m_mutex);
        limit.state = m_cold;
        if (m_registration) {
            service = m_registration->announcement.service;
        }
    }
    if (m_hooks.coldRule && !service.isEmpty()) {
        limit.rule = m_hooks.coldRule(service);
    }
    return limit;
}

void LocalEndpoint::recordConnectionFailure(const Target &target)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_registration || m_registration->client != target.client) {
            return;
        }
        m_cold = m_cold.withConnectionFailure();
    }
    if (m_hooks.coldChanged) {
        m_hooks.coldChanged();
    }
}

std::uint32_t LocalEndpoint::slots(core::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const bool isCurrent = m_registration && now - m_registration->renewedAt <= AnnouncementLifetime;
    return isCurrent ? m_registration->announcement.slots : 0;
}

bool LocalEndpoint::isDraining() const
{
    const std::scoped_lock lock(m_mutex);
    return m_registration && m_registration->isDraining;
}

std::string LocalEndpoint::id() const
{
    return target().id;
}

std::optional<wire::EndpointState> LocalEndpoint::state(const admission::AdmissionState &admission,
                                                        core::TimePoint now) const
{
    // Rounded as in messages, because members compare the record that they receive with their own.
    const auto coldRate = static_cast<float>(coldLimit().rate(now));
    const std::scoped_lock lock(m_mutex);
    if (!m_registration || now - m_registration->renewedAt > AnnouncementLifetime) {
        return std::nullopt;
    }
    // The endpoint's own report may be delayed or stuck; the requests that this node has running are a lower bound.
    const std::uint32_t load = std::max(m_registration->reportedRunning, admission->running);
    return wire::EndpointState(
        {.service = m_registration->announcement.service,
         .slots = m_registration->announcement.slots,
         .isDraining = m_registration->isDraining || admission->isDraining || admission->isEvacuated,
         .load = load + static_cast<std::uint32_t>(admission->queued),
         .admittedLevel = admission->admittedLevel,
         .coldRate = coldRate});
}

LocalEndpoint::Target LocalEndpoint::target() const
{
    const std::scoped_lock lock(m_mutex);
    return m_registration ? Target{m_registration->announcement.id, m_registration->client} : Target{};
}

asio::awaitable<admission::EndpointResult>
LocalEndpoint::failedCall(const std::string &requestId, const http::Error &error, const Target &target)
{
    admission::EndpointResult result = resultOf(error);
    if (result.connectionLost) {
        // A single lost connection does not prove a crash; a crashed endpoint also refuses new connections.
        result.connectionLost = co_await target.client->isRefusingConnections(CrashProbeTimeout);
    }
    if (result.connectionLost || error.code() == http::ErrorCode::Unreachable) {
        recordConnectionFailure(target);
    }
    telemetry::logRequestEvent("endpoint gave no answer",
                               {{"request", requestId},
                                {"endpoint", target.id},
                                {"error", error.detail()},
                                {"maybe_sent", error.maybeSent()},
                                {"crashed", result.connectionLost}},
                               core::bootTime());
    co_return result;
}

asio::awaitable<admission::EndpointResult> LocalEndpoint::call(wire::CallRequest request)
{
    const Target target = this->target();
    if (!target.client) {
        co_return failed(Refusal(RefusalReason::NoEndpoint, Outcome::NotRun, "no endpoint has announced itself here"),
                         false);
    }
    const auto parent = telemetry::TraceContext::fromTraceParent(request->traceParent);
    const telemetry::TraceContext trace = parent ? parent->child(m_random) : telemetry::TraceContext::root(m_random, 0);
    const core::WallTime start = std::chrono::system_clock::now();
    const core::TimePoint now = core::bootTime();
    const bool isRootKnown = request->isNested && request->rootRemaining > core::Duration::zero();
    InFlightEntry entry(m_inFlight,
                        InFlight({.workspace = request->workspace,
                                  .keyDigest = request->keyDigest,
                                  .priority = request->priority,
                                  .deadline = now + request->remaining,
                                  .rootDeadline = now + (isRootKnown ? request->rootRemaining : request->remaining),
                                  .retryAllowance = request->retryAllowance,
                                  .trace = trace}));
    const core::Duration timeout = request->remaining + request->answerGrace;
    const std::string requestId = request->requestId;
    const core::ServiceId service = request->service;
    const core::RouteId route = request->route;
    http::Request message =
        m_protocols.encodeEndpointCall({std::move(request), target.id, entry.token(), trace.traceParent()});
    http::Result<http::Response> answer = co_await target.client->send(std::move(message), timeout);
    if (trace.isSampled()) {
        m_spans(telemetry::Span({.context = trace,
                                 .parentSpanId = parent->spanId(),
                                 .name = "endpoint",
                                 .start = start,
                                 .end = std::chrono::system_clock::now(),
                                 .isError = !answer,
                                 .attributes = {{"service", service.value()}, {"route", route.value()}}}));
    }
    if (!answer) {
        admission::EndpointResult result = co_await failedCall(requestId, answer.error(), target);
        result.response =
            std::move(result.response).with(&wire::CallResponseFields::retriesSpent, entry.retriesSpent());
        co_return result;
    }
    const std::uint16_t status = (*answer)->status;
    auto response = m_protocols.decodeEndpointResponse(std::move(*answer));
    if (!response) {
        const Refusal &refusal = response.error();
        telemetry::logRequestEvent("endpoint did not run a request",
                                   {{"request", requestId},
                                    {"endpoint", target.id},
                                    {"status", std::int64_t{status}},
                                    {"outcome", std::string(core::toString(refusal.outcome()))},
                                    {"detail", refusal.detail()}},
                                   core::bootTime());
        co_return failed(refusal, false);
    }
    constexpr std::uint16_t FirstRedirection = 300;
    if (status >= FirstRedirection) {
        telemetry::logRequestEvent("endpoint answered with a failure",
                                   {{"request", requestId}, {"endpoint", target.id}, {"status", std::int64_t{status}}},
                                   core::bootTime());
    }
    co_return admission::EndpointResult{
        .response = std::move(*response).with(&wire::CallResponseFields::retriesSpent, entry.retriesSpent())};
}

}
