#include "berylspring/http/server.h"
#include "integration/harness/http_calls.h"
#include "integration/harness/process.h"
#include "integration/harness/store_stand_in.h"
#include "support/section.h"

#include <atomic>
#include <fstream>
#include <list>
#include <mutex>
#include <string>

#include <boost/asio/thread_pool.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;
using test::waitUntil;

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

const std::string ConfigTopic = "keyed.op";

std::string configuration(int version, const std::string &keys, int maxBodyBytes = 1'000'000)
{
    return R"({"Version":)" + std::to_string(version) + R"(,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":)"
           + std::to_string(maxBodyBytes)
           + R"(,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"garden","ApiKeys":[)" + keys
           + R"(],"Priority":1}],"VirtualHosts":[{"Host":"visits.example","Paths":[)"
             R"({"Name":"r-past","PathPrefix":"/past/","Kind":"safe","TimeoutMs":5000,"Service":"visits","MaxAttempts":2,"Public":false},)"
             R"({"Name":"r-open","PathPrefix":"/open/","Kind":"safe","TimeoutMs":5000,"Service":"visits","MaxAttempts":2,"Public":true}]}]})";
}

/** @brief An endpoint that stamps its answers and keeps the headers of the last request. */
class Upstream
{
public:
    explicit Upstream(asio::any_io_executor executor)
        : m_server(std::move(executor), {}, [this](http::Request request) { return answer(std::move(request)); })
        , m_port(m_server.listen("127.0.0.1", 0).value())
    {
    }
    ~Upstream()
    {
        m_server.close();
    }
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return m_port;
    }
    [[nodiscard]] int runs() const noexcept
    {
        return m_runs;
    }
    [[nodiscard]] std::string lastHeader(const std::string &name)
    {
        const std::scoped_lock lock(m_mutex);
        return std::string(http::headerValue(m_last->headers, name));
    }

private:
    asio::awaitable<http::Reply> answer(http::Request request)
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

    std::atomic<int> m_runs{0};
    std::mutex m_mutex;
    http::Request m_last;
    http::Server m_server;
    std::uint16_t m_port;
};

/** @brief A daemon whose settings select the users' platform. */
struct Node
{
    Node(const std::string &host,
         const std::string &dataCentre,
         const std::string &service,
         std::uint16_t storePort,
         const test::TemporaryDirectory &directory)
        : process(host,
                  {std::string(BERYLSPRING_BINARY_DIR) + "/berylspringd",
                   "--settings",
                   writeSettings(host, dataCentre, service, storePort, directory)},
                  directory.file(host + ".log"))
        , callerPort(process.waitForPort("caller"))
        , endpointPort(process.waitForPort("endpoint"))
        , operatorPort(process.waitForPort("operator"))
    {
    }

    static std::string writeSettings(const std::string &host,
                                     const std::string &dataCentre,
                                     const std::string &service,
                                     std::uint16_t storePort,
                                     const test::TemporaryDirectory &directory)
    {
        std::string path = directory.file(host + ".ini");
        std::ofstream(path) << "[node]\nhost = " << host << "\ndata_centre = " << dataCentre
                            << "\naddress = 127.0.0.1\nservice = " << service
                            << "\n[fleet]\ndata_centres = a,b\nsecret = at-least-16-characters\n"
                            << "[operator]\ntoken_digest = " << std::string(64, 'f')
                            << "\n[platform]\nkind = store\nlog = 127.0.0.1:" << storePort
                            << "\nreaders = 1\npoll_ms = 200\nproof_refresh_ms = 100\nproof_fallback_ms = 500\n"
                            << "key_staleness_ms = 4000\n";
        return path;
    }

    test::Process process;
    std::uint16_t callerPort;
    std::uint16_t endpointPort;
    std::uint16_t operatorPort;
};

/** @brief Two nodes in two data centres; the endpoint of the routes is attached to the first. */
class Platform
{
public:
    Platform()
        : store(m_calls.pool().get_executor())
        , upstream(m_calls.pool().get_executor())
        , first("h1", "a", "visits", store.port(), m_directory)
        , second("h2", "b", "other", store.port(), m_directory)
    {
    }

    int status(std::uint16_t port,
               const std::string &method,
               const std::string &target,
               const std::string &body = {},
               const std::string &key = {})
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
    /** @brief Sends a heartbeat of the endpoint to its node. @return The HTTP status. */
    int heartbeat(const std::string &state)
    {
        const std::string body =
            R"({"Address":"127.0.0.1:)" + std::to_string(upstream.port())
            + R"(","Info":{"Service":"visits","Version":"v1","Zone":"a","Slots":8},"Status":{"State":")" + state
            + R"(","Seq":)" + std::to_string(++m_sequence) + R"(,"ColdRemainingMs":0},"born":1700000000000})";
        return status(first.endpointPort, "PUT", "/api/instances/i-1", body);
    }
    /** @brief Repeats a request until its answer has the status; keeps the endpoint announced. @return False on
     * timeout. */
    bool waitForStatus(int expected, std::uint16_t port, const std::string &target, const std::string &key)
    {
        return waitUntil([&] {
            heartbeat("ready");
            return status(port, "GET", target, {}, key) == expected;
        });
    }

private:
    test::TemporaryDirectory m_directory;
    test::HttpCalls m_calls{4};
    int m_requests = 0;
    int m_sequence = 0;

public:
    test::StoreStandIn store;
    Upstream upstream;
    Node first;
    Node second;
};

}

TEST_GROUP(NodesOnThePlatform){};

// Guards against faults of the platform adapter with real processes: configuration, key staleness and endpoint drain,
// while the store is unavailable, slow or compacted.
TEST(NodesOnThePlatform, serveWhatTheStoreAndTheEndpointsTellThem)
{
    Platform platform;
    section("a node without configuration is not ready and refuses", [&] {
        LONGS_EQUAL(503, platform.status(platform.first.operatorPort, "GET", "/api/ready"));
        LONGS_EQUAL(503, platform.status(platform.first.callerPort, "GET", "/past/1", {}, "key-1"));
    });
    platform.store.put(ConfigTopic, "config", configuration(3, R"("key-1","key-2")"));
    section("both nodes become ready and serve", [&] {
        for (const std::uint16_t port : {platform.first.operatorPort, platform.second.operatorPort}) {
            CHECK(waitUntil([&] { return platform.status(port, "GET", "/api/ready") == 200; }));
        }
        CHECK(platform.waitForStatus(200, platform.first.callerPort, "/past/1", "key-1"));
        CHECK(platform.waitForStatus(200, platform.second.callerPort, "/past/2", "key-1"));
    });
    section("the endpoint receives the tenant and the calling service, but no key", [&] {
        STRCMP_EQUAL("garden", platform.upstream.lastHeader("Berylspring-Tenant").c_str());
        STRCMP_EQUAL("other", platform.upstream.lastHeader("Berylspring-Caller-Service").c_str());
        STRCMP_EQUAL("i-1", platform.upstream.lastHeader("Berylspring-Target-Instance").c_str());
        STRCMP_EQUAL("", platform.upstream.lastHeader("Berylspring-Key").c_str());
    });
    section("unknown keys and routes are refused", [&] {
        LONGS_EQUAL(401, platform.status(platform.second.callerPort, "GET", "/past/3", {}, "key-9"));
        LONGS_EQUAL(404, platform.status(platform.second.callerPort, "GET", "/none/3", {}, "key-1"));
        LONGS_EQUAL(404, platform.status(platform.second.callerPort, "GET", "/past", {}, "key-1"));
    });
    section("a removed key is refused on both nodes, also after the log was compacted", [&] {
        platform.store.put(ConfigTopic, "config", configuration(5, R"("key-2")"));
        platform.store.compact(ConfigTopic);
        CHECK(platform.waitForStatus(401, platform.first.callerPort, "/past/4", "key-1"));
        CHECK(platform.waitForStatus(401, platform.second.callerPort, "/past/4", "key-1"));
        CHECK(platform.waitForStatus(200, platform.second.callerPort, "/past/4", "key-2"));
    });
    section("without the store, keys are refused after the staleness limit and public routes are still served", [&] {
        platform.store.setUnavailable(true);
        CHECK(platform.waitForStatus(503, platform.second.callerPort, "/past/5", "key-2"));
        CHECK(platform.waitForStatus(200, platform.second.callerPort, "/open/5", ""));
        platform.store.setUnavailable(false);
        CHECK(platform.waitForStatus(200, platform.second.callerPort, "/past/5", "key-2"));
    });
    section("late answers of the store do not prove that keys are current", [&] {
        platform.store.setAnswerDelay(3s);
        CHECK(platform.waitForStatus(503, platform.first.callerPort, "/past/5", "key-2"));
        CHECK(platform.waitForStatus(200, platform.first.callerPort, "/open/5", ""));
        platform.store.setAnswerDelay(0s);
        CHECK(platform.waitForStatus(200, platform.first.callerPort, "/past/5", "key-2"));
    });
    section("a new body size limit applies without a restart", [&] {
        const std::string body(500, 'x');
        platform.heartbeat("ready");
        LONGS_EQUAL(200, platform.status(platform.first.callerPort, "GET", "/past/6", body, "key-2"));
        platform.store.put(ConfigTopic, "config", configuration(7, R"("key-2")", 100));
        CHECK(waitUntil([&] {
            platform.heartbeat("ready");
            return platform.status(platform.first.callerPort, "GET", "/past/6", body, "key-2") == 413;
        }));
    });
    section("a draining endpoint receives no more requests", [&] {
        LONGS_EQUAL(200, platform.heartbeat("draining"));
        const int runs = platform.upstream.runs();
        LONGS_EQUAL(503, platform.status(platform.first.callerPort, "GET", "/past/6", {}, "key-2"));
        LONGS_EQUAL(503, platform.status(platform.second.callerPort, "GET", "/past/6", {}, "key-2"));
        LONGS_EQUAL(runs, platform.upstream.runs());
    });
    section("a planned stop exits with status 0", [&] {
        platform.second.process.terminate();
        LONGS_EQUAL(0, platform.second.process.wait().exitStatus);
    });
}
