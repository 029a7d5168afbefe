#include "integration/harness/fleet.h"
#include "integration/harness/paced_load.h"
#include "support/section.h"

#include <future>
#include <iostream>
#include <thread>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

constexpr std::size_t DrainedNode = 1;
constexpr std::size_t StoppedNode = 3;
/** Longest time until every entry node has stopped using a draining endpoint (design page, 6.2). */
constexpr auto DrainTarget = 2s;

test::Call callOf(std::string method, std::string target)
{
    return test::Call({.method = std::move(method), .target = std::move(target), .key = "key-tenant", .timeout = 25s});
}

/** @brief Long-running calls, of which at least one runs at a chosen endpoint. */
class LongCalls
{
public:
    LongCalls(test::Fleet &fleet,
              std::size_t entry,
              std::size_t endpoint,
              std::string path,
              std::chrono::milliseconds work = 8s)
        : m_fleet(fleet)
    {
        const bool isPlaced = test::waitUntil([&, path] {
            m_results.push_back(std::async(std::launch::async, [&fleet, entry, path, work] {
                return fleet.call(entry, callOf("POST", path + "?work_ms=" + std::to_string(work.count())));
            }));
            const auto hasRun = [&] { return m_fleet.record(endpoint).at("runs").as_object().contains(path); };
            return test::waitUntil(hasRun, 100ms);
        });
        CHECK_TEXT(isPlaced, "no long call reached the endpoint");
    }

    std::vector<test::CallResult> results()
    {
        std::vector<test::CallResult> results;
        for (std::future<test::CallResult> &future : m_results) {
            results.push_back(future.get());
        }
        return results;
    }

    void checkAllComplete()
    {
        for (const test::CallResult &result : results()) {
            STRCMP_EQUAL("", result->reason.c_str());
            CHECK(result.isComplete());
        }
    }

private:
    test::Fleet &m_fleet;
    std::vector<std::future<test::CallResult>> m_results;
};

std::uint64_t startedAt(test::Fleet &fleet, std::size_t endpoint)
{
    return fleet.record(endpoint).at("started").to_number<std::uint64_t>();
}

void checkNothingLost(const test::LoadReport &report)
{
    for (const auto &[failure, count] : report.failures()) {
        std::cout << report.name() << ": " << count << " of " << report.samples().size() << " " << failure << "\n";
    }
    LONGS_EQUAL(0, report.notSent());
    LONGS_EQUAL(0, report.mismatches());
    LONGS_EQUAL(0, report.count(core::Outcome::Unknown));
}

}

TEST_GROUP(APlannedStopCutsNoRequest){};

// Guards against requests that are cut, and against requests still sent to a draining endpoint after the target time.
TEST(APlannedStopCutsNoRequest, ofANodeAndOfAnEndpointUnderLoad)
{
    section("two data centres with two endpoints of one service each", [] {
        const test::EndpointConfig endpoint{.service = "front", .extraOptions = {"--no-header-record"}};
        test::Fleet fleet(test::FleetConfig({.dataCentres = {"dc-a", "dc-b"}, .endpoints = {endpoint, endpoint}}));
        fleet.addWorkspace("tenant", 2000, 500);
        fleet.addRoute("front", {{"prefix", "/front"}, {"service", "front"}}, 3);
        fleet.waitUntilServing({"/front"}, "key-tenant");

        const auto loadClassOf = [&](const std::string &name,
                                     const std::string &method,
                                     std::vector<std::size_t> nodes) {
            return test::LoadClass{.name = name,
                                   .ratePerSecond = 25.0 * static_cast<double>(nodes.size()),
                                   .duration = 12s, // Outlasts the long calls; the caller port closes under load.
                                   .makeCall = [method](std::uint64_t) { return callOf(method, "/front/steady"); },
                                   .chooseClient = [&fleet, nodes](std::uint64_t number) -> http::Client & {
                                       return fleet.calls().client(fleet.node(nodes[number % nodes.size()]).callerPort);
                                   }};
        };
        const std::vector<test::LoadClass> classes{loadClassOf("GET at remaining nodes", "GET", {0, 1, 2}),
                                                   loadClassOf("POST at remaining nodes", "POST", {0, 1, 2}),
                                                   loadClassOf("GET at the stopping node", "GET", {StoppedNode}),
                                                   loadClassOf("POST at the stopping node", "POST", {StoppedNode})};
        LongCalls atEndpoint(fleet, DrainedNode, DrainedNode, "/front/at-the-drained-endpoint");
        LongCalls throughNode(fleet, StoppedNode, StoppedNode, "/front/through-the-stopped-node");
        auto load = std::async(std::launch::async, [&] { return test::runLoad(fleet.calls(), classes); });

        section("an endpoint drains and a node stops while both run requests", [&] {
            const std::uint64_t before = startedAt(fleet, DrainedNode);
            CHECK(test::waitUntil([&] { return startedAt(fleet, DrainedNode) > before + 10; }));
            fleet.node(StoppedNode).daemon->terminate();
            fleet.node(DrainedNode).endpoint->terminate();
            const auto drainedAt = std::chrono::steady_clock::now();

            section("the endpoint starts no request later than 2 s after its drain", [&] {
                std::this_thread::sleep_until(drainedAt + DrainTarget);
                const std::uint64_t atTarget = startedAt(fleet, DrainedNode);
                std::this_thread::sleep_for(1s);
                CHECK_TEXT(load.wait_for(0s) == std::future_status::timeout, "the load ended before the check");
                LONGS_EQUAL(atTarget, startedAt(fleet, DrainedNode));
            });
        });
        section("long requests that were already running are answered completely", [&] {
            atEndpoint.checkAllComplete();
            throughNode.checkAllComplete();
        });
        section("the node and the endpoint exit with status 0", [&] {
            LONGS_EQUAL(0, fleet.node(StoppedNode).daemon->wait(60s).exitStatus);
            LONGS_EQUAL(0, fleet.node(DrainedNode).endpoint->wait(60s).exitStatus);
        });
        section("no call that was sent is lost", [&] {
            const std::vector<test::LoadReport> reports = load.get();
            for (const test::LoadReport &report : reports) {
                checkNothingLost(report);
            }
        });
        section("every remaining node serves", [&] { fleet.waitUntilServing({"/front"}, "key-tenant"); });
    });
}

// Guards against requests that arrive late in a stop, are passed on and then cut without an answer.
TEST(APlannedStopCutsNoRequest, thatArrivesLateInTheGrace)
{
    const test::EndpointConfig endpoint{.service = "front", .extraOptions = {"--no-header-record"}};
    test::Fleet fleet(test::FleetConfig(
        {.endpoints = {endpoint, endpoint}, .extraSettings = "[bounds]\nstop_grace_ms=10000\ndrain_ms=2400\n"}));
    fleet.addWorkspace("tenant", 2000, 500);
    fleet.addRoute("front", {{"prefix", "/front"}, {"service", "front"}}, 3);
    fleet.waitUntilServing({"/front"}, "key-tenant");
    const std::size_t stopped = 1;
    const auto callWithin = [&](core::Duration timeout) {
        const test::Call call = callOf("POST", "/front/late");
        return fleet.call(stopped, call.with(&test::CallFields::timeout, timeout));
    };
    LongCalls endless(fleet, stopped, stopped, "/front/outlasts-the-stop", 20s);
    const auto stoppedAt = std::chrono::steady_clock::now();
    fleet.node(stopped).daemon->terminate();

    section("while callers are leaving, requests are passed on", [&] {
        std::this_thread::sleep_until(stoppedAt + 500ms);
        CHECK(callWithin(20s).isComplete());
    });
    section("later, a request that may not be repeated and may outlast the stop is refused as not run", [&] {
        std::this_thread::sleep_until(stoppedAt + 5s);
        const test::CallResult result = callWithin(20s);
        STRCMP_EQUAL("draining", result->reason.c_str());
        CHECK(result->outcome == core::Outcome::NotRun);
    });
    section("one that ends before the stop is answered", [&] { CHECK(callWithin(1s).isComplete()); });
    section("a request that outlasts the stop gets a final answer that promises nothing", [&] {
        for (const test::CallResult &result : endless.results()) {
            CHECK_TEXT(result->status != 0, "the connection ended without an answer");
            CHECK(result->outcome == core::Outcome::Unknown);
        }
    });
    section("the node exits with status 0", [&] { LONGS_EQUAL(0, fleet.node(stopped).daemon->wait(60s).exitStatus); });
}
