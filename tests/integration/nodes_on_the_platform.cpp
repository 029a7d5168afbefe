#include "integration/harness/platform_fleet.h"
#include "support/section.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::ConfigKey;
using test::ConfigTopic;
using test::platformDocument;
using test::section;
using test::waitUntil;

TEST_GROUP(NodesOnThePlatform){};

// Guards against faults of the platform adapter with real processes: configuration, key staleness and endpoint drain,
// while the store is unavailable, slow or compacted.
TEST(NodesOnThePlatform, serveWhatTheStoreAndTheEndpointsTellThem)
{
    test::PlatformFleet platform;
    section("a node without configuration is not ready and refuses", [&] {
        LONGS_EQUAL(503, platform.status(platform.first.operatorPort, "GET", "/api/ready"));
        LONGS_EQUAL(503, platform.status(platform.first.callerPort, "GET", "/past/1", {}, "key-1"));
    });
    platform.store.put(ConfigTopic, ConfigKey, platformDocument(3, R"("key-1","key-2")"));
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
        platform.store.put(ConfigTopic, ConfigKey, platformDocument(5, R"("key-2")"));
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
        platform.store.put(ConfigTopic, ConfigKey, platformDocument(7, R"("key-2")", 100));
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
