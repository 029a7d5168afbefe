#include "node/background.h"
#include "node/milliseconds.h"
#include "node/node_implementation.h"

#include "berylspring/config/log_record.h"
#include "berylspring/telemetry/log.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

namespace berylspring::node {

namespace {

namespace asio = boost::asio;

constexpr core::Duration NoticeTimeout = std::chrono::seconds(1);
constexpr core::Duration PublishInterval = std::chrono::milliseconds(100);
/** Short enough to find the state of a node in its log close to the time of a failed request. */
constexpr core::Duration StatusInterval = std::chrono::seconds(10);
/** Bounds the cost of a check that visits all members. Hosts that died stay members for minutes, so it is not urgent.
 */
constexpr core::Duration DepartureCheckInterval = std::chrono::seconds(10);
constexpr std::uint32_t WatchPageRecords = 200;

std::string_view nameOf(wire::MemberState state) noexcept
{
    switch (state) {
    case wire::MemberState::Alive:
        return "alive";
    case wire::MemberState::Suspect:
        return "suspect";
    case wire::MemberState::Dead:
        return "dead";
    case wire::MemberState::Left:
        return "left";
    }
    return "invalid";
}

/** @return The change that a log entry makes, if the catalogue accepted it at that offset. */
std::optional<http::ChangeRecord> acceptedChange(const wire::LogEntry &entry, const config::Catalogue &catalogue)
{
    const auto record = config::parseLogRecord(entry.data);
    if (!record) {
        return std::nullopt;
    }
    const auto result = catalogue.findOperation((*record)->operationId);
    if (!result || result->offset != entry.offset || result->reason != config::VoidReason::None) {
        return std::nullopt;
    }
    return http::ChangeRecord{.change = entry.offset,
                              .kind = (*record)->kind == config::RecordKind::Put ? "put" : "delete",
                              .type = std::string(config::toString((*record)->type)),
                              .name = (*record)->name};
}

}

asio::awaitable<wire::Message> Node::Implementation::handlePeer(core::HostId from, wire::Message message)
{
    if (auto *call = std::get_if<wire::CallRequest>(&message)) {
        co_return wire::Message(co_await runAdmitted(std::move(*call)));
    }
    if (std::holds_alternative<wire::HomeRequest>(message) || std::holds_alternative<wire::ClaimRequest>(message)
        || std::holds_alternative<wire::ClaimHandover>(message)) {
        co_return co_await m_idempotency.handle(std::move(from), std::move(message));
    }
    if (std::holds_alternative<wire::GrantRequest>(message) || std::holds_alternative<wire::LoanRequest>(message)
        || std::holds_alternative<wire::HandoverRequest>(message)) {
        co_return co_await m_limits.handle(std::move(from), std::move(message));
    }
    if (std::holds_alternative<wire::RecordPull>(message) || std::holds_alternative<wire::Tombstone>(message)) {
        co_return co_await m_config.handle(std::move(from), std::move(message));
    }
    if (const auto *notice = std::get_if<wire::QuarantineNotice>(&message)) {
        m_quarantineExchange.receive(from, *notice, now());
        co_return wire::Message(wire::Ack());
    }
    if (const auto *notice = std::get_if<wire::EndpointLeaveNotice>(&message)) {
        m_leaveExchange.keep(from, *notice);
        co_return wire::Message(wire::Ack());
    }
    if (std::holds_alternative<wire::EndpointLeaveQuery>(message)) {
        co_return wire::Message(m_leaveExchange.answer(from));
    }
    co_return wire::Message(wire::Refused({.detail = "not a request"}));
}

asio::awaitable<wire::CallResponse> Node::Implementation::runAdmitted(wire::CallRequest call)
{
    const std::shared_ptr<admission::AdmissionService> service = admission();
    const auto parent = telemetry::TraceContext::fromTraceParent(call->traceParent);
    const core::WallTime start = std::chrono::system_clock::now();
    const bool isNested = call->isNested;
    wire::CallResponse response = co_await service->run(std::move(call));
    // A root request that queues at its first service is shed there before any work is done, so its entry is given only
    // the pressure of the services behind it.
    const double own = isNested ? response->pressure : 0;
    const double pressure = std::max(own, m_dispatcher.nestedPressure(now()));
    response = std::move(response).with(&wire::CallResponseFields::pressure, pressure);
    m_metrics.observe(telemetry::Hop::Queue, response->queueTime);
    m_metrics.observe(telemetry::Hop::Endpoint, response->serviceTime);
    if (parent && parent->isSampled()) {
        const auto queueTime = std::chrono::duration_cast<core::WallTime::duration>(response->queueTime);
        m_spans->add(telemetry::Span({.context = parent->child(m_random),
                                      .parentSpanId = parent->spanId(),
                                      .name = "queue",
                                      .start = start,
                                      .end = start + queueTime,
                                      .isError = response->refusal.has_value()}));
    }
    co_return response;
}

asio::awaitable<http::Reply> Node::Implementation::handleCaller(http::Request request)
{
    auto parsed = m_protocols.decodeCall(request);
    if (!parsed) {
        const wire::CallResponse refusal({.refusal = parsed.error()});
        const http::Response response = m_protocols.encodeResponse(refusal, request);
        recordRejection({response->status, request->target, parsed.error().detail()});
        co_return response;
    }
    wire::CallResponse response;
    try {
        response = co_await m_entry.call(std::move(*parsed));
    } catch (const boost::system::system_error &error) {
        if (error.code() != asio::error::operation_aborted || !m_isAborting) {
            throw;
        }
        const core::Refusal refusal(
            core::RefusalReason::Cancelled, core::Outcome::Unknown, "the node stopped before the endpoint answered");
        response = wire::CallResponse({.refusal = refusal});
    }
    co_return m_protocols.encodeResponse(std::move(response), request);
}

void Node::Implementation::recordRejection(const http::RejectedRequest &request)
{
    constexpr std::uint16_t PayloadTooLarge = 413;
    const core::RefusalReason reason =
        request.status == PayloadTooLarge ? core::RefusalReason::BodyTooLarge : core::RefusalReason::BadRequest;
    m_metrics.countRequest(core::Outcome::NotRun, reason, 0);
    constexpr std::uint16_t FirstServerError = 500;
    telemetry::logRequestEvent(
        request.status >= FirstServerError ? "request failed" : "request rejected",
        {{"status", std::int64_t{request.status}}, {"target", request.target}, {"detail", request.detail}},
        now());
}

asio::awaitable<http::Reply> Node::Implementation::handleOperator(http::Request request)
{
    if (request->target == m_protocols.readinessPath) {
        request = request.with(&http::RequestFields::target, "/readyz");
    }
    return m_operatorApi.handle(std::move(request));
}

asio::awaitable<http::Reply> Node::Implementation::handleEndpoint(http::Request request)
{
    bool isLeaving = false;
    const EndpointApiHooks hooks{
        .heartbeat =
            [&](const http::EndpointHeartbeat &heartbeat) {
                isLeaving = heartbeat.isDraining;
                processHeartbeat(heartbeat);
            },
        .leave =
            [&](const http::EndpointLeave &leave) {
                isLeaving = true;
                telemetry::log(telemetry::Severity::Info, "endpoint leaves", {{"endpoint", leave.id}});
                if (m_endpoint.leave(leave)) {
                    drainEndpoint();
                }
            },
        .reportLoad = [this](const http::LoadReport &report) { m_endpoint.reportLoad(report); }};
    http::Response response = m_protocols.handleEndpoint(request, hooks);
    // The acknowledgement binds the next process of this host too.
    if (isLeaving && !co_await m_leaveExchange.store()) {
        telemetry::log(telemetry::Severity::Warning, "leave acknowledged, but stored in this process only");
    }
    co_return response;
}

void Node::Implementation::processHeartbeat(const http::EndpointHeartbeat &heartbeat)
{
    if (heartbeat.isDraining) {
        // Also while the heartbeat itself has no effect, since it is acknowledged.
        m_endpoint.recordDrain(heartbeat);
    }
    // Leaves name their endpoint, so that one without an id is never among them.
    const bool mayHaveLeft = !heartbeat.announcement.id.empty();
    if (!mayHaveLeft || !m_heartbeatGate.hold(heartbeat, now())) {
        applyHeartbeat(heartbeat, now());
    }
}

void Node::Implementation::applyHeartbeat(const http::EndpointHeartbeat &heartbeat, core::TimePoint receivedAt)
{
    if (m_isStopping) {
        // The endpoint was drained together with this node; a heartbeat must not undo that.
        return;
    }
    using HeartbeatResult = LocalEndpoint::HeartbeatResult;
    const http::EndpointAnnouncement &announcement = heartbeat.announcement;
    const HeartbeatResult result = m_endpoint.heartbeat(heartbeat, receivedAt);
    if (result == HeartbeatResult::Renewed) {
        updateCold();
        return;
    }
    telemetry::log(telemetry::Severity::Info,
                   result == HeartbeatResult::Stale ? "late heartbeat ignored" : "endpoint changed",
                   {{"endpoint", announcement.id},
                    {"service", announcement.service.value()},
                    {"address", announcement.address},
                    {"sequence", static_cast<std::int64_t>(heartbeat.sequence)},
                    {"draining", heartbeat.isDraining}});
    if (result == HeartbeatResult::Started) {
        replaceAdmission();
    }
    if (m_endpoint.isDraining()) {
        admission()->startDrain();
    }
    if (result != HeartbeatResult::Stale) {
        publishEndpoint();
    }
}

void Node::Implementation::replaceAdmission()
{
    const std::shared_ptr<admission::AdmissionService> next = makeAdmission();
    next->setCold(m_endpoint.coldLimit());
    enforceEvacuation(*next);
    std::shared_ptr<admission::AdmissionService> retired;
    {
        const std::scoped_lock lock(m_admissionMutex);
        retired = std::exchange(m_admission, next);
    }
    retired->retire();
}

void Node::Implementation::drainEndpoint()
{
    m_endpoint.drain();
    admission()->startDrain();
    publishEndpoint();
}

void Node::Implementation::publishEndpoint()
{
    const core::TimePoint time = now();
    const std::shared_ptr<admission::AdmissionService> service = admission();
    const admission::ColdLimit cold = m_endpoint.coldLimit();
    service->setCold(cold);
    // Repeated, since an endpoint may start while an evacuation begins or ends.
    enforceEvacuation(*service);
    service->setSlots(m_endpoint.slots(time));
    m_membership->setEndpoint(m_endpoint.state(service->state(), time));
    logColdChange(cold, time);
}

void Node::Implementation::updateCold()
{
    const admission::ColdLimit cold = m_endpoint.coldLimit();
    admission()->setCold(cold);
    bool hasChanged = false;
    {
        const std::scoped_lock lock(m_coldMutex);
        hasChanged = m_coldSince.has_value() != cold.reason(now()).has_value();
    }
    if (hasChanged) {
        publishEndpoint();
    }
}

void Node::Implementation::logColdChange(const admission::ColdLimit &cold, core::TimePoint time)
{
    const auto reason = cold.reason(time);
    std::optional<core::TimePoint> since;
    {
        const std::scoped_lock lock(m_coldMutex);
        if (m_coldSince.has_value() == reason.has_value()) {
            return;
        }
        since = std::exchange(m_coldSince, reason ? std::optional(time) : std::nullopt);
    }
    const std::string endpoint = m_endpoint.id();
    if (!reason) {
        telemetry::log(telemetry::Severity::Info,
                       "endpoint is warm",
                       {{"endpoint", endpoint}, {"ms", detail::milliseconds(time - *since)}});
        return;
    }
    // Unless it is cold until a heartbeat, whose time is not known.
    const core::Duration remaining = cold.state.warmAt(time).value_or(time) - time;
    telemetry::log(telemetry::Severity::Info,
                   "endpoint is cold",
                   {{"endpoint", endpoint},
                    {"reason", std::string(admission::toString(*reason))},
                    {"ms", detail::milliseconds(remaining)}});
}

void Node::Implementation::logStatus() const
{
    std::vector<telemetry::LogField> fields;
    const std::vector<telemetry::Sample> samples = this->samples();
    std::vector<std::string> names; // The fields refer to their names.
    names.reserve(samples.size());
    for (const telemetry::Sample &sample : samples) {
        std::string &name = names.emplace_back(sample.name);
        for (const auto &[label, value] : sample.labels) {
            name += "_" + value;
        }
        fields.push_back({name, sample.value});
    }
    fields.push_back({"configuration_age_ms", detail::milliseconds(configurationAge())});
    telemetry::log(telemetry::Severity::Info, "status", fields);
}

asio::awaitable<void> Node::Implementation::publishLoop()
{
    asio::steady_timer timer(m_executor);
    core::TimePoint lastStatus = now();
    core::TimePoint lastDepartureCheck = lastStatus;
    while (true) {
        publishEndpoint();
        m_quarantineExchange.tick(now());
        m_leaveExchange.tick(now());
        if (now() - lastStatus >= StatusInterval) {
            lastStatus = now();
            logStatus();
            const std::scoped_lock lock(m_loopMutex);
            m_loopDelay = {};
        }
        if (now() - lastDepartureCheck >= DepartureCheckInterval) {
            lastDepartureCheck = now();
            m_dispatcher.forgetDeparted(*m_membership->snapshot());
        }
        timer.expires_after(PublishInterval);
        co_await timer.async_wait(asio::use_awaitable);
        const std::scoped_lock lock(m_loopMutex);
        m_loopDelay = m_loopDelay.withTimer(timer.expiry(), std::chrono::steady_clock::now());
    }
}

asio::awaitable<bool> Node::Implementation::sendNotice(core::HostId host, wire::QuarantineNotice notice)
{
    const wire::Message message(notice);
    const auto answer = co_await m_peers.call(std::move(host), message, NoticeTimeout);
    if (!answer) {
        co_return false;
    }
    co_return std::holds_alternative<wire::Ack>(*answer);
}

asio::awaitable<http::ChangePage> Node::Implementation::changes(core::Offset from)
{
    const wire::Message pull(wire::RecordPull({.from = from, .limit = WatchPageRecords}));
    const wire::Message answer = co_await m_config.handle(m_settings->host, pull);
    const auto *batch = std::get_if<wire::RecordBatch>(&answer);
    http::ChangePage page;
    page.next = from;
    if (batch == nullptr) {
        co_return page;
    }
    page.next = std::max(from, (*batch)->next);
    const std::shared_ptr<const config::Catalogue> catalogue = m_config.catalogue();
    for (const wire::LogEntry &entry : (*batch)->records) {
        if (auto change = acceptedChange(entry, *catalogue)) {
            page.changes.push_back(std::move(*change));
        }
    }
    co_return page;
}

std::vector<http::NodeStatus> Node::Implementation::nodeStatus() const
{
    std::vector<http::NodeStatus> nodes;
    const auto evacuated = m_evacuations.dataCentres();
    for (const membership::Member &member : m_membership->members()) {
        const bool isEvacuated =
            std::find(evacuated->begin(), evacuated->end(), member.dataCentre()) != evacuated->end();
        const std::optional<wire::EndpointState> &endpoint = member.endpoint();
        nodes.push_back({.host = member.host(),
                         .dataCentre = member.dataCentre(),
                         .state = std::string(nameOf(member.state())),
                         .appliedOffset = member.appliedOffset(),
                         .service = endpoint ? (*endpoint)->service.value() : std::string(),
                         .isDraining = endpoint && (*endpoint)->isDraining,
                         .isEvacuated = isEvacuated});
    }
    return nodes;
}

void Node::Implementation::refreshMembers(core::Offset change)
{
    for (const membership::Member &member : m_membership->liveMembers()) {
        if (member.appliedOffset() <= change && member.host() != m_settings->host) {
            m_membership->pingNow(member.host());
        }
    }
}

}
