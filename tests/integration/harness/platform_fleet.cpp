#include "integration/harness/platform_fleet.h"

#include <chrono>
#include <filesystem>
#include <fstream>

namespace berylspring::test {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

std::string writeSettings(const std::string &host,
                          const std::string &dataCentre,
                          const std::string &service,
                          std::uint16_t storePort,
                          const TemporaryDirectory &directory,
                          std::uint16_t peerPort)
{
    std::string path = directory.file(host + ".ini");
    std::ofstream(path) << "[node]\nhost = " << host << "\ndata_centre = " << dataCentre
                        << "\naddress = 127.0.0.1\nservice = " << service << "\n[ports]\npeer = " << peerPort
                        << "\n[fleet]\ndata_centres = a,b\nsecret = at-least-16-characters\n"
                        << "[operator]\ntoken_digest = " << std::string(64, 'f')
                        << "\n[platform]\nkind = store\nlog = 127.0.0.1:" << storePort
                        << "\nreaders = 1\npoll_ms = 200\nproof_refresh_ms = 100\nproof_fallback_ms = 500\n"
                        << "denial_staleness_ms = 3000\nkey_staleness_ms = 4000\n";
    return path;
}

/** @return A file without output of an earlier process of the host, whose ports would be taken for those of the next.
 */
std::string unusedLogFile(const std::string &host, const TemporaryDirectory &directory)
{
    std::string path = directory.file(host + ".log");
    for (int process = 2; std::filesystem::exists(path); ++process) {
        path = directory.file(host + "-" + std::to_string(process) + ".log");
    }
    return path;
}

}

std::string platformDocument(int version, const std::string &keys, int maxBodyBytes, const std::string &routes)
{
    return R"({"Version":)" + std::to_string(version) + R"(,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":)"
           + std::to_string(maxBodyBytes)
           + R"(,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"garden","ApiKeys":[)" + keys
           + R"(],"Priority":1}],"VirtualHosts":[{"Host":"visits.example","Paths":[)" + routes
           + R"({"Name":"r-past","PathPrefix":"/past/","Kind":"safe","TimeoutMs":5000,"Service":"visits","MaxAttempts":2,"Public":false},)"
             R"({"Name":"r-open","PathPrefix":"/open/","Kind":"safe","TimeoutMs":5000,"Service":"visits","MaxAttempts":2,"Public":true}]}]})";
}

StampingEndpoint::StampingEndpoint(asio::any_io_executor executor)
    : m_server(std::move(executor), {}, [this](http::Request request) { return answer(std::move(request)); })
    , m_port(m_server.listen("127.0.0.1", 0).value())
{
}

StampingEndpoint::~StampingEndpoint()
{
    m_server.close();
}

std::string StampingEndpoint::lastHeader(const std::string &name)
{
    const std::scoped_lock lock(m_mutex);
    return std::string(http::headerValue(m_last->headers, name));
}

asio::awaitable<http::Reply> StampingEndpoint::answer(http::Request request)
{
    ++m_runs;
    const std::string id(http::headerValue(request->headers, "Berylspring-Request-Id"));
    {
        const std::scoped_lock lock(m_mutex);
        m_last = request;
    }
    co_return http::Response({.status = 200,
                              .headers = {{"Berylspring-Request-Id", id}, {"Berylspring-Response-Stamp", "stamp"}},
                              .body = request->target});
}

PlatformNode::PlatformNode(const std::string &host,
                           const std::string &dataCentre,
                           const std::string &service,
                           std::uint16_t storePort,
                           const TemporaryDirectory &directory,
                           std::uint16_t fixedPeerPort)
    : process(host,
              {std::string(BERYLSPRING_BINARY_DIR) + "/berylspringd",
               "--settings",
               writeSettings(host, dataCentre, service, storePort, directory, fixedPeerPort)},
              unusedLogFile(host, directory))
    , callerPort(process.waitForPort("caller"))
    , endpointPort(process.waitForPort("endpoint"))
    , operatorPort(process.waitForPort("operator"))
    , peerPort(process.waitForPort("peer"))
{
}

PlatformFleet::PlatformFleet()
    : store(m_calls.pool().get_executor())
    , upstream(m_calls.pool().get_executor())
    , secondToStore(std::make_shared<tools::FaultRoute>(m_calls.pool().get_executor(), store.port()))
    , first("h1", "a", "visits", store.port(), m_directory)
    , second("h2", "b", "other", secondToStore->listen(0), m_directory)
{
}

PlatformNode
PlatformFleet::start(const std::string &host, const std::string &dataCentre, const std::string &service) const
{
    return {host, dataCentre, service, store.port(), m_directory};
}

PlatformNode PlatformFleet::restartFirst()
{
    first.process.kill();
    first.process.wait();
    return {"h1", "a", "visits", store.port(), m_directory, first.peerPort};
}

int PlatformFleet::status(std::uint16_t port,
                          const std::string &method,
                          const std::string &target,
                          const std::string &body,
                          const std::string &key)
{
    wire::Headers headers{{"Berylspring-Request-Id", "r-" + std::to_string(++m_requests)},
                          {"Berylspring-Deadline-Ms", "5000"}};
    if (!key.empty()) {
        headers.push_back({"Berylspring-Key", key});
    }
    const http::Request request(
        {.method = method, .target = target, .host = "visits.example", .headers = headers, .body = body});
    const auto response = m_calls.send(port, request, 10s);
    return response ? (*response)->status : 0;
}

int PlatformFleet::heartbeat(const std::string &state)
{
    return heartbeatTo(first.endpointPort, "i-1", state, ++m_sequence);
}

int PlatformFleet::heartbeatTo(std::uint16_t port, const std::string &id, const std::string &state, int sequence)
{
    const std::string body =
        R"({"Address":"127.0.0.1:)" + std::to_string(upstream.port())
        + R"(","Info":{"Service":"visits","Version":"v1","Zone":"a","Slots":8},"Status":{"State":")" + state
        + R"(","Seq":)" + std::to_string(sequence) + R"(,"ColdRemainingMs":0},"born":1700000000000})";
    return status(port, "PUT", "/api/instances/" + id, body);
}

int PlatformFleet::leaveAt(std::uint16_t port, const std::string &id)
{
    return status(port, "DELETE", "/api/instances/" + id);
}

bool PlatformFleet::waitForStatus(int expected, std::uint16_t port, const std::string &target, const std::string &key)
{
    return waitUntil([&] {
        heartbeat("ready");
        return status(port, "GET", target, {}, key) == expected;
    });
}

}
