#include "integration/harness/paced_load.h"
#include "integration/harness/process.h"
#include "support/section.h"
#include "tools/common/nested_calls.h"
#include "tools/common/response_body.h"

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

/** @brief A fake endpoint process that is called directly, without a node. */
class StandaloneEndpoint
{
public:
    explicit StandaloneEndpoint(const std::vector<std::string> &options)
        : m_process("endpoint", arguments(options), m_directory.file("out"))
        , m_port(m_process.waitForPort("service"))
        , m_controlPort(m_process.waitForPort("control"))
    {
    }
    test::CallResult call(const test::Call &call)
    {
        return test::call(m_calls, m_port, call);
    }
    boost::json::object record()
    {
        return m_calls.json(m_controlPort, "GET", "/record").as_object();
    }
    void control(const std::string &body)
    {
        m_calls.json(m_controlPort, "PUT", "/control", body);
    }
    test::HttpCalls &calls()
    {
        return m_calls;
    }
    http::Client &client()
    {
        return m_calls.client(m_port);
    }
    test::Process &process()
    {
        return m_process;
    }

private:
    static std::vector<std::string> arguments(const std::vector<std::string> &options)
    {
        std::vector<std::string> all{BERYLSPRING_BINARY_DIR "/tests/berylspring-fakeendpoint"};
        all.insert(all.end(), options.begin(), options.end());
        return all;
    }

    test::TemporaryDirectory m_directory;
    test::Process m_process;
    std::uint16_t m_port;
    std::uint16_t m_controlPort;
    test::HttpCalls m_calls;
};

}

TEST_GROUP(LoadAndFakeEndpoint){};

TEST(LoadAndFakeEndpoint, acceptsOnlyACompleteResponseToItsOwnRequest)
{
    const http::Request request({.method = "POST", .target = "/a?size=100", .body = "text"});
    const auto responseTo = [](const http::Request &other) {
        return http::jsonResponse(200, tools::responseBody("service", other));
    };
    CHECK_FALSE(tools::mismatch(request, responseTo(request)).has_value());
    section("a response to another target, method, body or size is rejected", [&] {
        using Fields = http::RequestFields;
        CHECK(tools::mismatch(request, responseTo(request.with(&Fields::target, "/b?size=100"))).has_value());
        CHECK(tools::mismatch(request, responseTo(request.with(&Fields::method, "PUT"))).has_value());
        CHECK(tools::mismatch(request, responseTo(request.with(&Fields::body, "texT"))).has_value());
    });
    section("a truncated padding in a valid JSON document is rejected", [&] {
        boost::json::object object = boost::json::parse(responseTo(request)->body).as_object();
        object["padding"] = std::string(object["padding"].as_string()).substr(1);
        CHECK(tools::mismatch(request, http::jsonResponse(200, boost::json::serialize(object))).has_value());
    });
    section("a refusal without an outcome counts as unknown and as a mismatch", [&] {
        const http::Response withoutOutcome(
            {.status = 503, .headers = {{"Content-Type", "application/problem+json"}}, .body = "{}"});
        const test::CallResult result = test::classify(request, withoutOutcome);
        CHECK(result->outcome == core::Outcome::Unknown);
        CHECK_FALSE(result->mismatch.empty());
    });
}

TEST(LoadAndFakeEndpoint, measuresLatencyFromTheDueTimeWhenTheServerIsSlow)
{
    // Guards against coordinated omission: a generator that waits for each response would report 20 ms for every call.
    StandaloneEndpoint endpoint({"--slots=1", "--service-ms=20"});
    const test::LoadClass load{
        .name = "calls",
        .ratePerSecond = 200,
        .duration = 200ms,
        .makeCall =
            [](std::uint64_t n) { return test::Call({.target = "/c?root=" + std::to_string(n), .timeout = 30s}); },
        .chooseClient = [&](std::uint64_t) -> http::Client & { return endpoint.client(); }};
    const auto reports = test::runLoad(endpoint.calls(), {load});
    LONGS_EQUAL(40, reports[0].complete());
    // The server needs 40 x 20 ms; the last call is due after 195 ms.
    CHECK(reports[0].latency(1) >= 600ms);
    CHECK(reports[0].latency(0.5) >= 200ms);
    CHECK(reports[0].latency(0.5) <= reports[0].latency(0.99));
}

TEST(LoadAndFakeEndpoint, readsTheRunRecordOfTheEndpoint)
{
    StandaloneEndpoint endpoint({"--slots=1", "--service-ms=0"});
    section("effects by idempotency key, runs by root, and headers are counted", [&] {
        for (int i = 0; i < 2; ++i) {
            CHECK(endpoint
                      .call(test::Call(
                          {.method = "POST", .target = "/p?root=r1", .key = "secret", .idempotencyKey = "k1"}))
                      .isComplete());
        }
        const boost::json::object record = endpoint.record();
        LONGS_EQUAL(2, record.at("effects").as_object().at("k1").as_int64());
        LONGS_EQUAL(2, record.at("roots").as_object().at("r1").as_int64());
        CHECK(record.at("headers").as_object().contains("Authorization: Bearer secret"));
    });
    section("a client that disconnects cancels a running and a waiting request", [&] {
        const http::Request slow({.method = "GET", .target = "/slow?work_ms=3600000"});
        for (int i = 0; i < 2; ++i) {
            CHECK_FALSE(endpoint.calls().send(endpoint.process().waitForPort("service"), slow, 100ms).has_value());
        }
        CHECK(test::waitUntil([&] { return endpoint.record().at("cancelled").as_int64() == 2; }));
        CHECK(endpoint.call(test::Call({.target = "/after"})).isComplete());
    });
    section("a crash closes the connection and does not count as a cancellation", [&] {
        const test::CallResult crash = endpoint.call(test::Call({.target = "/x?crash=1"}));
        CHECK(crash->outcome == core::Outcome::Unknown);
        CHECK(crash->reason == "connection");
        CHECK(test::waitUntil([&] { return endpoint.call(test::Call({.target = "/y"})).isComplete(); }));
        LONGS_EQUAL(1, endpoint.record().at("crashes").as_int64());
        LONGS_EQUAL(2, endpoint.record().at("cancelled").as_int64());
    });
    section("a planned stop exits with status 0", [&] {
        endpoint.process().terminate();
        LONGS_EQUAL(0, endpoint.process().wait().exitStatus);
    });
}

TEST(LoadAndFakeEndpoint, derivesTheTargetsOfNestedCalls)
{
    using Targets = std::vector<std::string>;
    CHECK((tools::nestedTargets("/a?root=1&nested=/b,/c;/d")
           == Targets{"/b?root=1&nested=/d&depth=1", "/c?root=1&nested=/d&depth=1"}));
    CHECK((tools::nestedTargets("/b?root=1&nested=/d&depth=1&leaf=fail:503") == Targets{"/d?root=1&fail=503"}));
    CHECK((tools::nestedTargets("/a?nested=/a&depth=3") == Targets{"/a?root=&nested=/a&depth=2"}));
    CHECK(tools::nestedTargets("/d?root=1").empty());
}
