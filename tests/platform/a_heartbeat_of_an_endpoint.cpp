#include "platform/heartbeat_codec.h"
#include "support/section.h"

#include <chrono>
#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;

namespace {

const core::ServiceId service("history");
const core::WallTime now{std::chrono::seconds(1'700'400'000)};

const std::string Heartbeat = R"({"Address":"10.128.0.9:8080",
    "Info":{"Service":"history","Version":"v1","Zone":"bole","Slots":54},
    "Status":{"State":"ready","Seq":4,"ColdRemainingMs":0},"born":1700000000123})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

bool isRefused(const std::string &text)
{
    return !platform::decodeHeartbeat("i-1", text, service, now).has_value();
}

}

TEST_GROUP(AHeartbeatOfAnEndpoint){};

TEST(AHeartbeatOfAnEndpoint, carriesIdentityAndState)
{
    const auto heartbeat = platform::decodeHeartbeat("i-1", Heartbeat, service, now);
    CHECK_TRUE(heartbeat.has_value());
    STRCMP_EQUAL("i-1", heartbeat->announcement.id.c_str());
    STRCMP_EQUAL("10.128.0.9:8080", heartbeat->announcement.address.c_str());
    CHECK_TRUE(heartbeat->announcement.service == core::ServiceId("history"));
    LONGS_EQUAL(54, heartbeat->announcement.slots);
    CHECK_TRUE(heartbeat->announcement.incarnation == 1700000000123U);
    LONGS_EQUAL(4, heartbeat->sequence);
    CHECK_FALSE(heartbeat->isDraining);
    CHECK_TRUE(platform::decodeHeartbeat("i-1", replaced(Heartbeat, "ready", "draining"), service, now)->isDraining);
}

// Guards against registering an endpoint from an incomplete or malformed heartbeat.
TEST(AHeartbeatOfAnEndpoint, isRefusedWhenAPartIsMissingOrOfAnotherType)
{
    section("missing slots", [] { CHECK_TRUE(isRefused(replaced(Heartbeat, ",\"Slots\":54", ""))); });
    section("slots as a string", [] { CHECK_TRUE(isRefused(replaced(Heartbeat, "54", "\"54\""))); });
    section("slots below one", [] { CHECK_TRUE(isRefused(replaced(Heartbeat, "54", "0"))); });
    section("an unknown state", [] { CHECK_TRUE(isRefused(replaced(Heartbeat, "ready", "resting"))); });
    section("a negative sequence", [] { CHECK_TRUE(isRefused(replaced(Heartbeat, "\"Seq\":4", "\"Seq\":-4"))); });
    section("an invalid service name", [] { CHECK_TRUE(isRefused(replaced(Heartbeat, "history", "His tory"))); });
    section("not an object", [] { CHECK_TRUE(isRefused("[1,2]")); });
    section("arbitrary bytes",
            [] { checkProperty("are refused", [](const std::string &bytes) { RC_ASSERT(isRefused(bytes)); }); });
}

// Guards against a leave that is not acknowledged, or acknowledged but not passed on.
TEST(AHeartbeatOfAnEndpoint, isAnsweredAtTheEndpointPort)
{
    std::optional<http::EndpointHeartbeat> told;
    std::string left;
    const node::EndpointApiHooks hooks{.heartbeat = [&](const http::EndpointHeartbeat &value) { told = value; },
                                       .leave = [&](const http::EndpointLeave &told) { left = told.id; },
                                       .reportLoad = {}};
    const auto status = [&](const std::string &method, const std::string &target, const std::string &body) {
        return platform::handleHeartbeat(
                   http::Request({.method = method, .target = target, .body = body}), hooks, service, now)
            ->status;
    };
    LONGS_EQUAL(200, status("PUT", "/api/instances/i-9", Heartbeat));
    CHECK_TRUE(told && told->announcement.id == "i-9");
    LONGS_EQUAL(200, status("DELETE", "/api/instances/i-9", ""));
    STRCMP_EQUAL("i-9", left.c_str());
    LONGS_EQUAL(400, status("PUT", "/api/instances/i-9", "{}"));
    LONGS_EQUAL(404, status("PUT", "/api/other", Heartbeat));
    LONGS_EQUAL(405, status("POST", "/api/instances/i-9", Heartbeat));
}
