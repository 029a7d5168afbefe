#include "berylspring/core/clock.h"
#include "berylspring/core/types.h"
#include "berylspring/node/in_flight_table.h"
#include "berylspring/node/local_endpoint.h"
#include "berylspring/node/protocols.h"
#include "node/entry_harness.h"
#include "support/section.h"

#include <chrono>
#include <numeric>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::checkProperty;
using test::section;

namespace {

node::InFlight requestWithAllowance(std::uint32_t allowance)
{
    return node::InFlight({.workspace = core::WorkspaceId("w"), .priority = 5, .retryAllowance = allowance});
}

}

TEST_GROUP(ANestedCallInherits)
{
    node::InFlightTable table{core::systemRandom()};
};

TEST(ANestedCallInherits, whatItsTokenStandsForWhileTheRequestRuns)
{
    const std::string token = table.add(requestWithAllowance(2));
    section("the request is found by its token", [&] { CHECK(table.find(token) == requestWithAllowance(2)); });
    section("another token finds nothing", [&] { CHECK_FALSE(table.find(token + "0").has_value()); });
    section("a token expires with its request, so an endpoint cannot use it afterwards", [&] {
        CHECK(table.remove(token).has_value());
        CHECK_FALSE(table.find(token).has_value());
        CHECK_FALSE(table.remove(token).has_value());
    });
}

TEST(ANestedCallInherits, aShareOfTheRetryAllowanceThatIsNeverCountedTwice)
{
    checkProperty("all nested calls together use at most the allowance",
                  [this](std::uint8_t allowance, const std::vector<bool> &spends) {
                      const std::string token = table.add(requestWithAllowance(allowance));
                      std::uint32_t spent = 0;
                      for (const bool spendsAll : spends) {
                          const std::uint32_t reserved = table.reserveRetryAllowance(token);
                          const std::uint32_t used = spendsAll ? reserved : reserved / 2;
                          table.settleRetryAllowance(token, reserved, used);
                          spent += used;
                      }
                      const auto request = table.remove(token);
                      RC_ASSERT(spent <= allowance);
                      RC_ASSERT((*request)->retriesSpent == spent);
                      RC_ASSERT((*request)->retryAllowance + spent == allowance);
                  });
}

// Guards against calls of a long chain that are ordered by the time of a route instead of that of their root. In an
// overload, most chains then lose a call, and their work is wasted (SHORT).
TEST(ANestedCallInherits, theTimeOfItsRoot)
{
    test::EntryHarness entry(test::catalogueWithRoutes());
    entry.callTime = 1ms;
    const std::string parent =
        entry.inFlight.add(node::InFlight({.deadline = entry.now + 1min, .rootDeadline = entry.now + 1h}));
    const auto rootTimeOf = [&](const std::string &target, const std::optional<std::string> &token = std::nullopt) {
        const http::CallerRequest request(
            {.method = "GET", .target = target, .contextToken = token, .timeout = std::optional<core::Duration>(2s)});
        LONGS_EQUAL(200, entry.call(request)->status);
        return entry.lastRootRemaining;
    };
    section("a caller without a token passes its own timeout on", [&] { CHECK(rootTimeOf("/ledger") == 2s); });
    section("with a token, the time left to the root counts, which is longer than that of the parent", [&] {
        const core::Duration left = core::TimePoint(1h) - entry.now;
        CHECK(rootTimeOf("/ledger", parent) == left);
    });
    section("a root request brings none", [&] { CHECK(rootTimeOf("/prices") == 0s); });
    section("it does not depend on reports of the pace", [&] {
        entry.pace = 1;
        CHECK(rootTimeOf("/ledger") == 2s);
        entry.pace = 0;
        entry.now += 30s;
        CHECK(rootTimeOf("/ledger") == 2s);
        CHECK(rootTimeOf("/ledger", parent) == core::TimePoint(1h) - entry.now);
    });
}

// Guards against a chain whose endpoints each start the time of the root anew.
TEST(ANestedCallInherits, theTimeOfItsRootFromTheCallOfItsParent)
{
    boost::asio::io_context context;
    std::optional<node::InFlight> running;
    node::Protocols protocols = node::nativeProtocols();
    protocols.encodeEndpointCall = [&](const node::EndpointCall &call) {
        running = table.find(call.contextToken);
        return http::Request();
    };
    node::LocalEndpoint endpoint(context.get_executor(), 1024, protocols, table, core::systemRandom(), {});
    // Nothing listens at the address; the request is in the table before the connection is made.
    endpoint.heartbeat({.announcement = {.service = core::ServiceId("visits"), .address = "127.0.0.1:1", .slots = 1}},
                       core::bootTime());
    const auto rootTimeBeyondOwn = [&](bool isNested, core::Duration rootRemaining) {
        const wire::CallRequest call({.isNested = isNested, .remaining = 2s, .rootRemaining = rootRemaining});
        auto result = boost::asio::co_spawn(context, endpoint.call(call), boost::asio::use_future);
        context.restart();
        context.run();
        CHECK(result.get().response->refusal.has_value());
        return running.value()->rootDeadline - running.value()->deadline;
    };
    section("a nested request has the time that it brought", [&] { CHECK(rootTimeBeyondOwn(true, 9s) == 7s); });
    section("its own time counts if it brought none", [&] { CHECK(rootTimeBeyondOwn(true, 0s) == 0s); });
    section("a root request is its own root", [&] { CHECK(rootTimeBeyondOwn(false, 9s) == 0s); });
}
