#include "integration/harness/platform_fleet.h"
#include "support/section.h"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::ConfigKey;
using test::ConfigTopic;
using test::platformDocument;
using test::section;
using test::waitUntil;

namespace {

const std::string AnnounceTopic = "keyed.announce";
const std::string LaterRoute =
    R"({"Name":"r-later","PathPrefix":"/later/","Kind":"safe","TimeoutMs":5000,"Service":"visits","MaxAttempts":2,"Public":true},)";

std::string repeated(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

std::string announcement(const std::string &host, const std::string &address, const std::string &port)
{
    return R"({"host":")" + host + R"(","data_centre":"a","address":")" + address + R"(","port":)" + port + "}";
}

/** Values that are no entry of any kind. */
std::vector<std::string> oddValues()
{
    return {repeated("[", 10'000) + repeated("]", 10'000),
            repeated(R"({"a":)", 10'000) + "1" + repeated("}", 10'000),
            "{",
            "[1]",
            "null",
            std::string("\0\xff\xfe", 3),
            std::string(200'000, 'x'),
            R"({"Version":1e400})",
            R"({"Version":18446744073709551616,"VirtualHosts":[{"Host":7}]})",
            R"({"Version":-1,"Tenants":[{"Name":[],"RatePerS":1e400}]})"};
}

std::vector<std::string> oddAnnouncements()
{
    std::vector<std::string> values = oddValues();
    for (const char *port : {"99999", "65536", "0", "-1", "1e400", "18446744073709551616", "\"7000\""}) {
        values.push_back(announcement("odd", "127.0.0.1", port));
    }
    for (const char *address : {"", "odd.example", "0.0.0.0", "255.255.255.255", "127.0.0.1:7000"}) {
        values.push_back(announcement("odd", address, "7000"));
    }
    // A host that runs, with another address.
    values.push_back(announcement("h1", "127.0.0.2", "7000"));
    return values;
}

std::string heartbeatBody(const std::string &address, const std::string &slots = "8", const std::string &born = "1")
{
    return R"({"Address":")" + address + R"(","Info":{"Service":"visits","Version":"v1","Zone":"a","Slots":)" + slots
           + R"(},"Status":{"State":"ready","Seq":9,"ColdRemainingMs":0},"born":)" + born + "}";
}

std::vector<std::string> oddHeartbeats()
{
    std::vector<std::string> bodies = oddValues();
    for (const char *address : {"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1", "odd.example:80", "0.0.0.0:80"}) {
        bodies.push_back(heartbeatBody(address));
    }
    for (const char *number : {"1e400", "-1", "18446744073709551616", "9223372036854775807", "\"8\"", "null"}) {
        bodies.push_back(heartbeatBody("127.0.0.1:80", number));
        bodies.push_back(heartbeatBody("127.0.0.1:80", "8", number));
    }
    bodies.push_back(heartbeatBody("127.0.0.1:80", repeated("[", 10'000) + repeated("]", 10'000)));
    return bodies;
}

}

TEST_GROUP(AnOddEntryAmongOthers){};

// Guards against an entry of another writer after which the daemons end, stop following the log or lose the endpoint.
TEST(AnOddEntryAmongOthers, isIgnoredAndTheOthersAreFollowed)
{
    test::PlatformFleet platform;
    const auto isServed = [&](const std::string &target) {
        return platform.waitForStatus(200, platform.first.callerPort, target, "key-1")
               && platform.waitForStatus(200, platform.second.callerPort, target, "key-1");
    };
    const auto areReady = [&] {
        return platform.status(platform.first.operatorPort, "GET", "/api/ready") == 200
               && platform.status(platform.second.operatorPort, "GET", "/api/ready") == 200;
    };
    const auto areRunning = [&] { return !platform.first.process.poll() && !platform.second.process.poll(); };
    int count = 0;
    section("odd entries are there before the first configuration", [&] {
        for (const std::string &value : oddValues()) {
            platform.store.put(ConfigTopic, "odd", value);
            platform.store.put(ConfigTopic, ConfigKey, value);
        }
        for (const std::string &value : oddAnnouncements()) {
            platform.store.put(AnnounceTopic, "odd-" + std::to_string(++count), value);
        }
    });
    section("the first configuration applies", [&] {
        platform.store.put(ConfigTopic, ConfigKey, platformDocument(3, R"("key-1")"));
        CHECK(waitUntil(areReady));
        CHECK(isServed("/past/1"));
    });
    section("odd heartbeats are refused, and the endpoint keeps its requests", [&] {
        for (const std::string &body : oddHeartbeats()) {
            LONGS_EQUAL(400, platform.status(platform.first.endpointPort, "PUT", "/api/instances/i-odd", body));
            LONGS_EQUAL(400, platform.status(platform.first.endpointPort, "PUT", "/api/instances/i-1", body));
        }
        LONGS_EQUAL(400, platform.status(platform.first.endpointPort, "DELETE", "/api/instances/"));
        for (int i = 0; i < 5; ++i) {
            LONGS_EQUAL(200, platform.heartbeat("ready"));
            LONGS_EQUAL(200, platform.status(platform.first.callerPort, "GET", "/past/2", {}, "key-1"));
        }
        CHECK(isServed("/past/2"));
    });
    section("each odd entry beside the configuration leaves that in force", [&] {
        for (const std::string &value : oddValues()) {
            platform.store.put(ConfigTopic, "odd", value);
            platform.store.put(ConfigTopic, ConfigKey, value);
            LONGS_EQUAL(200, platform.heartbeat("ready"));
            LONGS_EQUAL(200, platform.status(platform.second.callerPort, "GET", "/open/3"));
        }
    });
    section("a later version applies on both nodes", [&] {
        platform.store.put(ConfigTopic, ConfigKey, platformDocument(5, R"("key-1")", 1'000'000, LaterRoute));
        platform.store.put(ConfigTopic, "odd", oddValues().front());
        CHECK(isServed("/later/4"));
    });
    section("a node that starts now reads the same log", [&] {
        platform.store.compact(ConfigTopic);
        platform.store.compact(AnnounceTopic);
        test::TemporaryDirectory directory;
        test::PlatformNode third("h3", "b", "other", platform.store.port(), directory);
        CHECK(waitUntil([&] { return platform.status(third.operatorPort, "GET", "/api/ready") == 200; }));
        CHECK(platform.waitForStatus(200, third.callerPort, "/later/5", "key-1"));
        third.process.terminate();
        LONGS_EQUAL(0, third.process.wait().exitStatus);
    });
    section("no process has ended, and a planned stop exits with status 0", [&] {
        CHECK(areRunning());
        for (test::PlatformNode *node : {&platform.first, &platform.second}) {
            node->process.terminate();
            LONGS_EQUAL(0, node->process.wait().exitStatus);
        }
    });
}
