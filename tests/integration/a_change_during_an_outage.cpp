#include "integration/harness/platform_fleet.h"
#include "support/section.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::ConfigKey;
using test::ConfigTopic;
using test::platformDocument;
using test::section;

namespace {

/** @brief Puts a first version in force and takes the store away until its keys cannot be proved any more. */
void beginOutage(test::PlatformFleet &platform, std::uint16_t caller)
{
    platform.store.put(ConfigTopic, ConfigKey, platformDocument(3, R"("key-1")"));
    CHECK(platform.waitForStatus(200, caller, "/past/1", "key-1"));
    platform.store.setUnavailable(true);
    CHECK(platform.waitForStatus(503, caller, "/past/2", "key-1"));
}

}

TEST_GROUP(AChangeDuringAnOutage){};

// Guards against a node that denies a valid key or route because its own configuration is old.
TEST(AChangeDuringAnOutage, isNotDeniedByNodesThatDoNotKnowIt)
{
    test::PlatformFleet platform;
    const std::uint16_t caller = platform.second.callerPort;
    platform.store.put(ConfigTopic, ConfigKey, platformDocument(3, R"("key-1")"));
    CHECK(platform.waitForStatus(200, caller, "/past/1", "key-1"));
    section("with a recent configuration, unknown keys and routes are denied", [&] {
        LONGS_EQUAL(401, platform.status(caller, "GET", "/past/2", {}, "key-2"));
        LONGS_EQUAL(404, platform.status(caller, "GET", "/added/2", {}, "key-1"));
    });
    section("once the configuration cannot be proved, the caller is told to come back", [&] {
        platform.store.setUnavailable(true);
        CHECK(platform.waitForStatus(503, caller, "/past/3", "key-1"));
        LONGS_EQUAL(503, platform.status(caller, "GET", "/past/3", {}, "key-2"));
        LONGS_EQUAL(503, platform.status(caller, "GET", "/added/3", {}, "key-1"));
    });
}

// Guards against a node that rejects a body for good by the size limit of a configuration that may have been replaced.
TEST(AChangeDuringAnOutage, ofASizeLimitIsNotAppliedFromAnOldConfiguration)
{
    test::PlatformFleet platform;
    const std::uint16_t caller = platform.first.callerPort;
    const std::string body(500, 'x');
    platform.store.put(ConfigTopic, ConfigKey, platformDocument(3, R"("key-1")", 100));
    CHECK(platform.waitForStatus(200, caller, "/open/1", ""));
    LONGS_EQUAL(413, platform.status(caller, "GET", "/open/2", body));
    platform.store.setUnavailable(true);
    CHECK(test::waitUntil([&] {
        platform.heartbeat("ready");
        return platform.status(caller, "GET", "/open/3", body) == 200;
    }));
}

// Guards against nodes that never apply a change that was made while none of them reached the store.
TEST(AChangeDuringAnOutage, isInForceOnceTheStoreIsBack)
{
    test::PlatformFleet platform;
    const std::uint16_t caller = platform.second.callerPort;
    beginOutage(platform, caller);
    platform.store.put(ConfigTopic, ConfigKey, platformDocument(5, R"("key-1","key-2")"));
    platform.store.setUnavailable(false);
    for (const std::uint16_t port : {platform.first.callerPort, caller}) {
        for (const char *key : {"key-1", "key-2"}) {
            section(std::string("the configuration is proved again and has ") + key,
                    [&] { CHECK(platform.waitForStatus(200, port, "/past/3", key)); });
        }
    }
}

// Guards against nodes that refuse all keys because the newest document of the store cannot be read.
TEST(AChangeDuringAnOutage, thatCannotBeReadLeavesTheLastOneInForce)
{
    test::PlatformFleet platform;
    const std::uint16_t caller = platform.second.callerPort;
    beginOutage(platform, caller);
    platform.store.put(ConfigTopic, ConfigKey, R"({"Version":"none"})");
    platform.store.setUnavailable(false);
    section("the last readable document is proved again",
            [&] { CHECK(platform.waitForStatus(200, caller, "/past/3", "key-1")); });
    section("the next readable one is applied", [&] {
        platform.store.put(ConfigTopic, ConfigKey, platformDocument(5, R"("key-2")"));
        CHECK(platform.waitForStatus(200, caller, "/past/4", "key-2"));
        CHECK(platform.waitForStatus(401, caller, "/past/4", "key-1"));
    });
}
