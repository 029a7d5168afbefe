#include "integration/harness/fleet.h"
#include "integration/harness/paced_load.h"
#include "support/section.h"

#include <csignal>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

TEST_GROUP(AFleetAnswersItsCallers){};

// Guards against faults on the basic path: nested calls, at-most-once runs, refusals, restarts and planned stops.
TEST(AFleetAnswersItsCallers, fromAnyNodeThroughNestedCallsAndARestart)
{
    section("two data centres with two services", [] {
        test::Fleet fleet(test::FleetConfig(
            {.dataCentres = {"dc-a", "dc-b"}, .endpoints = {{.service = "front"}, {.service = "deep"}}}));
        fleet.addWorkspace("tenant", 1000, 100);
        fleet.addRoute("front", {{"prefix", "/front"}, {"service", "front"}}, 3);
        fleet.addRoute("deep", {{"prefix", "/deep"}, {"service", "deep"}}, 3);
        fleet.waitUntilServing({"/front", "/deep"}, "key-tenant");
        section("a nested call reaches the deep service once", [&] {
            const test::CallResult result =
                fleet.call(1, test::Call({.target = "/front/x?root=r1&nested=/deep/y&size=5000", .key = "key-tenant"}));
            STRCMP_EQUAL("", result->mismatch.c_str());
            CHECK(result.isComplete());
            LONGS_EQUAL(2, fleet.totals("roots").at("r1"));
        });
        section("no endpoint has received the key", [&] {
            for (const auto &entry : fleet.totals("headers")) {
                CHECK(entry.first.find("key-tenant") == std::string::npos);
            }
        });
        section("a non-idempotent request that is sent again has one effect", [&] {
            const test::Call post({.method = "POST",
                                   .target = "/front/p",
                                   .body = "text",
                                   .key = "key-tenant",
                                   .idempotencyKey = "dc-a/k1"});
            const test::CallResult first = fleet.call(0, post);
            const test::CallResult second = fleet.call(3, post);
            CHECK(first.isComplete());
            CHECK(second.isComplete());
            CHECK(first->body == second->body);
            LONGS_EQUAL(1, fleet.totals("effects").at("dc-a/k1"));
        });
        section("a wrong key is refused as not-run with a reason", [&] {
            const test::CallResult result = fleet.call(0, test::Call({.target = "/front", .key = "wrong"}));
            CHECK(result->outcome == core::Outcome::NotRun);
            STRCMP_EQUAL("key-invalid", result->reason.c_str());
        });
        section("a steady load is answered completely", [&] {
            const test::LoadClass load{
                .name = "steady",
                .ratePerSecond = 100,
                .duration = 1s,
                .makeCall =
                    [](std::uint64_t) { return test::Call({.target = "/front", .key = "key-tenant", .timeout = 20s}); },
                .chooseClient = [&](std::uint64_t n) -> http::Client & {
                    return fleet.calls().client(fleet.node(n % fleet.size()).callerPort);
                }};
            const auto reports = test::runLoad(fleet.calls(), {load});
            LONGS_EQUAL(0, reports[0].mismatches());
            LONGS_EQUAL(100, reports[0].complete());
        });
        section("a killed daemon serves again after its restart", [&] {
            fleet.node(3).daemon->kill();
            LONGS_EQUAL(SIGKILL, fleet.node(3).daemon->wait().signal);
            fleet.restartDaemon(3);
            fleet.waitUntilServing({"/front", "/deep"}, "key-tenant");
        });
        section("planned stops exit with status 0", [&] {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                fleet.node(i).daemon->terminate();
            }
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                LONGS_EQUAL(0, fleet.node(i).daemon->wait(60s).exitStatus);
            }
        });
    });
}
