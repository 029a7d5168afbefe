#include "berylspring/node/local_endpoint.h"

#include <algorithm>

namespace berylspring::node {

namespace {

namespace asio = boost::asio;
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

http::Request
endpointRequest(const wire::CallRequest &call, const std::string &token, const telemetry::TraceContext &trace)
{
    wire::Headers headers = call->headers;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(call->remaining).count();
    headers.push_back({"Berylspring-Context", token});
    headers.push_back({"Berylspring-Timeout-Ms", std::to_string(milliseconds)});
    headers.push_back({"traceparent", trace.traceParent()});
    return http::Request(
        {.method = call->method, .target = call->target, .headers = std::move(headers), .body = call->body});
}

/** @brief Keeps a request in the table as long as it runs. */
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
                             InFlightTable &inFlight,
                             core::RandomSource random,
                             telemetry::SpanSink spans)
    : m_executor(std::move(executor))
    , m_maxBodyBytes(maxBodyBytes)
    , m_inFlight(inFlight)
    , m_random(std::move(random))
    , m_spans(std::move(spans))
{
}

bool LocalEndpoint::announce(const http::EndpointAnnouncement &announcement, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_known && m_known->announcement == announcement && !m_known->isDraining) {
        m_known->renewedAt = now;
        return false;
    }
    const http::ClientOptions options{.bodyLimitBytes = m_maxBodyBytes};
    m_known = Known{.announcement = announcement,
                    .renewedAt = now,
                    .client = std::make_shared<http::Client>(m_executor, announcement.address, options)};
    return true;
}

void LocalEndpoint::drain()
{
    const std::scoped_lock lock(m_mutex);
    if (m_known) {
        m_known->isDraining = true;
    }
}

void LocalEndpoint::reportLoad(const http::LoadReport &report)
{
    const std::scoped_lock lock(m_mutex);
    if (m_known) {
        m_known->reportedRunning = report.running;
    }
}

std::uint32_t LocalEndpoint::slots(core::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const bool isThere = m_known && now - m_known->renewedAt <= AnnouncementLifetime;
    return isThere ? m_known->announcement.slots : 0;
}

bool LocalEndpoint::isDraining() const
{
    const std::scoped_lock lock(m_mutex);
    return m_known && m_known->isDraining;
}

std::optional<wire::EndpointState> LocalEndpoint::state(const admission::AdmissionState &admission,
                                                        core::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    if (!m_known || now - m_known->renewedAt > AnnouncementLifetime) {
        return std::nullopt;
    }
    // The endpoint's own report may lag or be stuck; what this node has running is a lower bound.
    const std::uint32_t load = std::max(m_known->reportedRunning, admission->running);
    return wire::EndpointState({.service = m_known->announcement.service,
                                .slots = m_known->announcement.slots,
                                .isDraining = m_known->isDraining || admission->isDraining,
                                .load = load + static_cast<std::uint32_t>(admission->queued),
                                .admittedLevel = admission->admittedLevel});
}

std::shared_ptr<http::Client> LocalEndpoint::client() const
{
    const std::scoped_lock lock(m_mutex);
    return m_known ? m_known->client : nullptr;
}

asio::awaitable<admission::EndpointResult> LocalEndpoint::call(wire::CallRequest request)
{
    const std::shared_ptr<http::Client> endpoint = client();
    if (!endpoint) {
        co_return failed(Refusal(RefusalReason::NoEndpoint, Outcome::NotRun, "no endpoint has announced itself here"),
                         false);
    }
    const auto parent = telemetry::TraceContext::fromTraceParent(request->traceParent);
    const telemetry::TraceContext trace = parent ? parent->child(m_random) : telemetry::TraceContext::root(m_random, 0);
    const core::WallTime start = std::chrono::system_clock::now();
    InFlightEntry entry(m_inFlight,
                        InFlight({.workspace = request->workspace,
                                  .keyDigest = request->keyDigest,
                                  .priority = request->priority,
                                  .deadline = std::chrono::steady_clock::now() + request->remaining,
                                  .retryAllowance = request->retryAllowance,
                                  .trace = trace}));
    const http::Request message = endpointRequest(request, entry.token(), trace);
    const http::Result<http::Response> answer = co_await endpoint->send(message, request->remaining);
    if (trace.isSampled()) {
        m_spans(telemetry::Span(
            {.context = trace,
             .parentSpanId = parent->spanId(),
             .name = "endpoint",
             .start = start,
             .end = std::chrono::system_clock::now(),
             .isError = !answer,
             .attributes = {{"service", request->service.value()}, {"route", request->route.value()}}}));
    }
    if (!answer) {
        admission::EndpointResult result = resultOf(answer.error());
        result.response = result.response.with(&wire::CallResponseFields::retriesSpent, entry.retriesSpent());
        co_return result;
    }
    const http::Response &response = *answer;
    co_return admission::EndpointResult{.response = wire::CallResponse({.status = response->status,
                                                                        .headers = response->headers,
                                                                        .body = response->body,
                                                                        .retriesSpent = entry.retriesSpent()})};
}

}
