#include "tools/common/fake_endpoint.h"

#include "tools/common/nested_calls.h"
#include "tools/common/response_body.h"

#include <cstdlib>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace berylspring::tools {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr auto AnnouncementInterval = 500ms;
constexpr auto ReportInterval = 100ms;
constexpr auto NodeTimeout = 2s;
/** Upper bound only: the node ends nested calls at the deadline of their root request. */
constexpr auto NestedTimeout = 60s;
constexpr auto RestartDelay = 200ms;
constexpr auto RestartRetryDelay = 10ms; ///< The port of the crashed server may not be free immediately.
constexpr int MaxRestartAttempts = 500;
/** The node may still forward requests that it accepted before it learned of the withdrawal. */
constexpr auto IdleTimeBeforeStop = 300ms;
constexpr auto StopPollInterval = 20ms;
constexpr std::uint64_t BodyLimitBytes = 64ULL * 1024 * 1024;

core::Duration milliseconds(double count)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double, std::milli>(count));
}

double randomFactor(double jitter)
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return std::uniform_real_distribution<double>(1 - jitter, 1 + jitter)(generator);
}

/** @brief Counts a request as active, and as cancelled if its coroutine ends without a response. */
class ActiveRequest
{
public:
    ActiveRequest(std::atomic<std::int64_t> &activeRequests, RunRecord &record, const std::atomic<bool> &isDown)
        : m_activeRequests(activeRequests)
        , m_record(record)
        , m_isDown(isDown)
    {
        ++m_activeRequests;
    }
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;
    ~ActiveRequest()
    {
        --m_activeRequests;
        if (m_hasResponded) {
            m_record.finished();
        } else if (!m_isDown) {
            m_record.cancelled();
        }
    }
    void markResponded()
    {
        m_hasResponded = true;
    }

private:
    std::atomic<std::int64_t> &m_activeRequests;
    RunRecord &m_record;
    const std::atomic<bool> &m_isDown;
    bool m_hasResponded = false;
};

http::Request nodeRequest(std::string method, std::string target, std::string body)
{
    return http::Request({.method = std::move(method),
                          .target = std::move(target),
                          .headers = {{"Content-Type", "application/json"}},
                          .body = std::move(body)});
}

std::string nodeAddress(const EndpointSettings &settings, std::uint16_t port)
{
    return settings.address + ":" + std::to_string(port);
}

}

FakeEndpoint::FakeEndpoint(asio::any_io_executor executor, EndpointSettings settings)
    : m_executor(std::move(executor))
    , m_settings(std::move(settings))
    , m_record(m_settings.isHeaderRecordOn)
    , m_slots(m_settings.slots)
    , m_announcedSlots(m_settings.slots)
    , m_nodeClient(m_executor, nodeAddress(m_settings, m_settings.nodeEndpointPort))
    , m_nestedClient(m_executor,
                     nodeAddress(m_settings, m_settings.nodeCallerPort),
                     http::ClientOptions{.bodyLimitBytes = BodyLimitBytes})
    , m_behaviour{.serviceTime = m_settings.serviceTime}
{
}

std::unique_ptr<http::Server> FakeEndpoint::makeServer()
{
    const http::ServerOptions options{.headerLimitBytes = 65'536, .bodyLimitBytes = BodyLimitBytes, .idleTimeout = 1h};
    return std::make_unique<http::Server>(
        m_executor, options, [self = weak_from_this()](http::Request request) -> asio::awaitable<http::Reply> {
            return self.lock()->handleRequest(std::move(request));
        });
}

http::Result<void> FakeEndpoint::start()
{
    m_server = makeServer();
    const auto port = m_server->listen(m_settings.address, m_settings.port);
    m_controlServer = std::make_unique<http::Server>(
        m_executor, http::ServerOptions{}, [self = weak_from_this()](http::Request request) {
            return self.lock()->handleControl(std::move(request));
        });
    const auto controlPort = m_controlServer->listen(m_settings.address, m_settings.controlPort);
    if (!port || !controlPort) {
        return tl::unexpected(port ? controlPort.error() : port.error());
    }
    m_port = *port;
    m_controlPort = *controlPort;
    if (m_settings.nodeEndpointPort != 0) {
        asio::co_spawn(m_executor, announceLoop(shared_from_this()), asio::detached);
        asio::co_spawn(m_executor, reportLoop(shared_from_this()), asio::detached);
    }
    return {};
}

asio::awaitable<void> FakeEndpoint::stop()
{
    m_isStopping = true;
    if (m_settings.nodeEndpointPort != 0) {
        const http::Request request = nodeRequest("DELETE", "/v1/endpoint", {});
        co_await sendToNode(request);
    }
    core::Duration idleTime{};
    while (idleTime < IdleTimeBeforeStop) {
        co_await sleepFor(StopPollInterval);
        idleTime = m_activeRequests > 0 ? core::Duration{} : idleTime + StopPollInterval;
    }
    const std::scoped_lock lock(m_mutex);
    m_server.reset(); // Closes idle connections; no request has been active for IdleTimeBeforeStop.
}

asio::awaitable<http::Reply> FakeEndpoint::handleRequest(http::Request request)
{
    ActiveRequest activeRequest(m_activeRequests, m_record, m_isDown);
    m_record.received(request);
    const EndpointBehaviour current = behaviour();
    if (current.isHanging) {
        co_await waitForever();
    }
    if (current.isRefusing) {
        activeRequest.markResponded();
        co_return http::Reply(http::jsonResponse(503, R"({"refused":true})"));
    }
    http::Reply reply = co_await runRequest(std::move(request));
    activeRequest.markResponded();
    co_return reply;
}

asio::awaitable<http::Reply> FakeEndpoint::runRequest(http::Request request)
{
    const SlotQueue::Slot slot = co_await m_slots.acquire();
    m_record.started(request);
    if (http::queryParameter(request->target, "crash") == "1") {
        crash();
        co_await waitForever();
    }
    co_await sleepFor(serviceTimeFor(request->target));
    const std::uint16_t nestedFailure = co_await makeNestedCalls(request);
    if (nestedFailure != 0) {
        co_return http::Reply(http::jsonResponse(502, R"({"nested_status":)" + std::to_string(nestedFailure) + "}"));
    }
    const auto status = static_cast<std::uint16_t>(queryNumber(request->target, "fail", 200));
    co_return http::Reply(http::jsonResponse(status, responseBody(m_settings.service, request)));
}

core::Duration FakeEndpoint::serviceTimeFor(const std::string &target)
{
    const std::string requested = http::queryParameter(target, "work_ms");
    if (!requested.empty()) {
        return milliseconds(queryNumber(target, "work_ms", 0));
    }
    const double factor = queryNumber(target, "slow", 1) * randomFactor(m_settings.jitter);
    return std::chrono::duration_cast<core::Duration>(behaviour().serviceTime * factor);
}

asio::awaitable<std::uint16_t> FakeEndpoint::makeNestedCalls(http::Request request)
{
    wire::Headers headers;
    for (const std::string name : {"Berylspring-Context", "traceparent"}) {
        const std::string value(http::headerValue(request->headers, name));
        if (!value.empty()) {
            headers.push_back({name, value});
        }
    }
    for (const std::string &target : nestedTargets(request->target)) {
        const http::Request nested({.method = "GET", .target = target, .headers = headers});
        const auto response = co_await m_nestedClient.send(nested, NestedTimeout);
        if (!response || (*response)->status >= 300) {
            co_return response ? (*response)->status : 502;
        }
        if (mismatch(nested, *response)) {
            co_return 599;
        }
    }
    co_return 0;
}

asio::awaitable<void> FakeEndpoint::waitForever()
{
    asio::steady_timer timer(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> FakeEndpoint::sleepFor(core::Duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

void FakeEndpoint::crash()
{
    m_record.crashed();
    if (m_settings.doesAbortOnCrash) {
        std::abort();
    }
    if (m_isDown.exchange(true)) {
        return;
    }
    const std::scoped_lock lock(m_mutex);
    m_server.reset();
    asio::co_spawn(m_executor, restart(shared_from_this()), asio::detached);
}

asio::awaitable<void> FakeEndpoint::restart(std::shared_ptr<FakeEndpoint> self)
{
    co_await self->sleepFor(RestartDelay);
    for (int attempt = 0; attempt < MaxRestartAttempts; ++attempt) {
        auto server = self->makeServer();
        if (server->listen(self->m_settings.address, self->m_port)) {
            const std::scoped_lock lock(self->m_mutex);
            self->m_server = std::move(server);
            self->m_isDown = false;
            co_return;
        }
        co_await self->sleepFor(RestartRetryDelay);
    }
    std::abort();
}

asio::awaitable<http::Reply> FakeEndpoint::handleControl(http::Request request)
{
    if (request->method == "GET" && request->target == "/record") {
        co_return http::Reply(http::jsonResponse(200, m_record.json()));
    }
    if (request->method == "PUT" && request->target == "/control") {
        co_return http::Reply(changeBehaviour(request->body));
    }
    co_return http::Reply(http::jsonResponse(404, R"({"error":"GET /record or PUT /control"})"));
}

http::Response FakeEndpoint::changeBehaviour(const std::string &body)
{
    try {
        EndpointBehaviour next = behaviour();
        const json::value value = json::parse(body);
        for (const auto &member : value.as_object()) {
            if (member.key() == "service_ms") {
                next.serviceTime = milliseconds(member.value().to_number<double>());
            } else if (member.key() == "slots") {
                m_announcedSlots = member.value().to_number<std::int64_t>();
                m_slots.resize(m_announcedSlots);
            } else if (member.key() == "refuse") {
                next.isRefusing = member.value().as_bool();
            } else if (member.key() == "hang") {
                next.isHanging = member.value().as_bool();
            } else {
                return http::jsonResponse(400, R"({"error":"members: service_ms, slots, refuse, hang"})");
            }
        }
        const std::scoped_lock lock(m_mutex);
        m_behaviour = next;
        return http::jsonResponse(200, "{}");
    } catch (const std::exception &error) {
        return http::jsonResponse(400, json::serialize(json::object{{"error", error.what()}}));
    }
}

asio::awaitable<void> FakeEndpoint::announceLoop(std::shared_ptr<FakeEndpoint> self)
{
    while (!self->m_isStopping) {
        if (!self->m_isDown) {
            const http::Request request = nodeRequest("PUT", "/v1/endpoint", self->announcement());
            co_await self->sendToNode(request);
        }
        co_await self->sleepFor(AnnouncementInterval);
    }
}

asio::awaitable<void> FakeEndpoint::reportLoop(std::shared_ptr<FakeEndpoint> self)
{
    std::string report;
    while (!self->m_isStopping && self->m_settings.loadReporting != LoadReporting::Off) {
        co_await self->sleepFor(ReportInterval);
        if (report.empty() || self->m_settings.loadReporting == LoadReporting::On) {
            report = json::serialize(
                json::object{{"running", self->m_slots.running()}, {"connections", self->m_activeRequests.load()}});
        }
        if (!self->m_isDown) {
            const http::Request request = nodeRequest("PUT", "/v1/endpoint/load", report);
            co_await self->sendToNode(request);
        }
    }
}

asio::awaitable<bool> FakeEndpoint::sendToNode(http::Request request)
{
    const auto response = co_await m_nodeClient.send(request, NodeTimeout);
    co_return response && (*response)->status < 300;
}

std::string FakeEndpoint::announcement() const
{
    const std::string own = nodeAddress(m_settings, m_port);
    return json::serialize(
        json::object{{"service", m_settings.service},
                     {"address", m_settings.announcedAddress.empty() ? own : m_settings.announcedAddress},
                     {"slots", m_announcedSlots.load()}});
}

EndpointBehaviour FakeEndpoint::behaviour() const
{
    const std::scoped_lock lock(m_mutex);
    return m_behaviour;
}

}
