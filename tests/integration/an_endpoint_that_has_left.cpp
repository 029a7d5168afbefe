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
using test::PlatformNode;
using test::section;
using test::waitUntil;

namespace {

/** Longer than a node takes to join the others and to apply a heartbeat. */
constexpr auto JoinTime = 4s;
/** Sequence numbers of heartbeats that were sent before and after those of the first process. */
constexpr int EarlySequence = 1;
constexpr int LateSequence = 1000;

}

TEST_GROUP(AnEndpointThatHasLeft)
{
    test::PlatformFleet platform;

    void startServing()
    {
        platform.store.put(ConfigTopic, ConfigKey, platformDocument(3, R"("key-1")"));
        CHECK(platform.waitForStatus(200, platform.second.callerPort, "/open/1", ""));
    }
    int request(const PlatformNode &entry)
    {
        return platform.status(entry.callerPort, "GET", "/open/2");
    }
    /** @return Whether an entry sends requests to the endpoint after a heartbeat to its node. */
    bool isServedAfter(const PlatformNode &entry, const PlatformNode &node, const std::string &id, int sequence)
    {
        LONGS_EQUAL(200, platform.heartbeatTo(node.endpointPort, id, "ready", sequence));
        return waitUntil([&] { return request(entry) == 200; }, JoinTime);
    }
};

// Guards against a leave that ends with the process that acknowledged it: a late heartbeat would register the endpoint
// at the next process, and accepted requests would be lost when it exits.
TEST(AnEndpointThatHasLeft, isNotBroughtBackAtTheNextProcess)
{
    startServing();
    section("its node acknowledges the leave",
            [&] { LONGS_EQUAL(200, platform.leaveAt(platform.first.endpointPort, "i-1")); });
    PlatformNode next = platform.restartFirst();
    section("a heartbeat sent before the leave reaches the next process",
            [&] { CHECK_FALSE(isServedAfter(platform.second, next, "i-1", EarlySequence)); });
    section("another endpoint of the host is served",
            [&] { CHECK(isServedAfter(platform.second, next, "i-2", EarlySequence)); });
    section("it reports that it drains, and all processes are killed", [&] {
        LONGS_EQUAL(200, platform.heartbeatTo(next.endpointPort, "i-2", "draining", LateSequence));
        for (PlatformNode *node : {&next, &platform.second}) {
            node->process.kill();
            node->process.wait();
        }
    });
    const PlatformNode third = platform.start("h1", "a", "visits");
    const PlatformNode entry = platform.start("h2", "b", "other");
    section("a heartbeat sent before the drain reaches the next process", [&] {
        CHECK_FALSE(isServedAfter(entry, third, "i-2", EarlySequence));
        CHECK_FALSE(isServedAfter(entry, third, "i-1", EarlySequence));
        CHECK(isServedAfter(entry, third, "i-3", EarlySequence));
    });
}

// Guards against a drain that is acknowledged but forgotten because it is reported while its node stops.
TEST(AnEndpointThatHasLeft, isNotBroughtBackAfterAPlannedStop)
{
    startServing();
    section("it reports that it drains while its node finishes what runs", [&] {
        platform.first.process.terminate();
        LONGS_EQUAL(200, platform.heartbeatTo(platform.first.endpointPort, "i-1", "draining", LateSequence));
        LONGS_EQUAL(0, platform.first.process.wait().exitStatus);
    });
    const PlatformNode next = platform.start("h1", "a", "visits");
    section("a heartbeat sent before the drain reaches the next process", [&] {
        CHECK_FALSE(isServedAfter(platform.second, next, "i-1", EarlySequence));
        CHECK(isServedAfter(platform.second, next, "i-2", EarlySequence));
    });
}

// Guards against a leave that is lost with its process because the store was down when it was acknowledged.
TEST(AnEndpointThatHasLeft, isRememberedByOtherNodesWhileTheStoreIsDown)
{
    startServing();
    section("its node acknowledges the leave while the store is down", [&] {
        platform.store.setUnavailable(true);
        LONGS_EQUAL(200, platform.leaveAt(platform.first.endpointPort, "i-1"));
    });
    const PlatformNode next = platform.restartFirst();
    platform.store.setUnavailable(false);
    section("a heartbeat sent before the leave reaches the next process", [&] {
        CHECK_FALSE(isServedAfter(platform.second, next, "i-1", EarlySequence));
        CHECK(isServedAfter(platform.second, next, "i-2", EarlySequence));
    });
}

// Guards against a node that waits for the store before it serves an endpoint again.
TEST(AnEndpointThatHasLeft, doesNotKeepOthersFromServingWhileTheStoreIsDown)
{
    startServing();
    platform.store.setUnavailable(true);
    const PlatformNode next = platform.restartFirst();
    section("the endpoint that did not leave is served again",
            [&] { CHECK(isServedAfter(platform.second, next, "i-1", LateSequence)); });
}
