#include "integration/harness/platform_fleet.h"
#include "support/section.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::ConfigKey;
using test::ConfigTopic;
using test::platformDocument;
using test::section;
using test::StoreStandIn;
using test::waitUntil;

namespace {

const std::string AnnounceTopic = "keyed.announce";
/** Longer than the settings accept keys without a new proof, so that a proof that is not renewed shows. */
constexpr auto PastKeyStaleness = 6s;
constexpr auto ProbeInterval = 50ms;
constexpr auto Absence = 300ms;

std::string addedRoute()
{
    return R"({"Name":"r-added","PathPrefix":"/added/","Kind":"safe","TimeoutMs":5000,"Service":"visits","MaxAttempts":2,)"
           R"("Public":false},)";
}

/** The version that all copies hold, if they hold any. */
std::string copiedVersion()
{
    return platformDocument(3, R"("key-1","key-removed")");
}

/** The version that a restore loses: it removes a key, and adds a key and a route. */
std::string lostVersion()
{
    return platformDocument(5, R"("key-1","key-added")", 1'000'000, addedRoute());
}

std::string laterVersion(int version, const std::string &key)
{
    return platformDocument(version, R"("key-1","key-added",")" + key + '"', 1'000'000, addedRoute());
}

void write(test::PlatformFleet &platform, const std::string &document)
{
    platform.store.put(ConfigTopic, ConfigKey, document);
}

/** @brief Moves the offsets of the next versions. */
void writeOtherRecords(test::PlatformFleet &platform, int count)
{
    for (int record = 0; record < count; ++record) {
        platform.store.put(ConfigTopic, "other", std::to_string(record));
    }
}

/** @brief Makes the store unavailable for a moment, during which it returns to the copy. */
void restore(test::PlatformFleet &platform, const StoreStandIn::Topics &copy)
{
    platform.store.setUnavailable(true);
    std::this_thread::sleep_for(Absence);
    platform.store.restore(copy);
    platform.store.setUnavailable(false);
}

std::vector<std::uint16_t> callerPorts(const test::PlatformFleet &platform)
{
    return {platform.first.callerPort, platform.second.callerPort};
}

void expectOneOf(const std::set<int> &allowed, int status, const std::string &request)
{
    if (!allowed.contains(status)) {
        FAIL((request + " gets " + std::to_string(status)).c_str());
    }
}

/** @brief Checks that the port decides by the version that added the key or a later one, or answers 503. */
void expectNoOlderVersion(test::PlatformFleet &platform, std::uint16_t port, const std::string &key = "key-added")
{
    expectOneOf({401, 503}, platform.status(port, "GET", "/past/1", {}, "key-removed"), "a removed key");
    expectOneOf({200, 503}, platform.status(port, "GET", "/past/1", {}, key), "an added key");
    expectOneOf({200, 503}, platform.status(port, "GET", "/added/1", {}, "key-1"), "an added route");
}

/** @brief Repeats expectNoOlderVersion() for a while. */
void expectNoOlderVersionDuring(test::PlatformFleet &platform,
                                const std::vector<std::uint16_t> &ports,
                                std::chrono::milliseconds time,
                                const std::string &key = "key-added")
{
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until) {
        platform.heartbeat("ready");
        for (const std::uint16_t port : ports) {
            expectNoOlderVersion(platform, port, key);
        }
        std::this_thread::sleep_for(ProbeInterval);
    }
}

/** @brief Checks that all ports soon serve the lost version or a later one with the key, and none falls back before. */
void expectServed(test::PlatformFleet &platform, const std::vector<std::uint16_t> &ports, const std::string &key)
{
    for (const std::uint16_t port : ports) {
        section("port " + std::to_string(port) + " serves " + key, [&] {
            CHECK(waitUntil([&] {
                platform.heartbeat("ready");
                expectNoOlderVersion(platform, port);
                return platform.status(port, "GET", "/added/2", {}, key) == 200;
            }));
        });
    }
}

/** @brief Puts the lost version in force. @return A copy of the store from before. */
StoreStandIn::Topics beginWithLostVersion(test::PlatformFleet &platform)
{
    write(platform, copiedVersion());
    for (const std::uint16_t port : callerPorts(platform)) {
        CHECK(platform.waitForStatus(200, port, "/past/0", "key-removed"));
    }
    StoreStandIn::Topics copy = platform.store.copy();
    write(platform, lostVersion());
    for (const std::uint16_t port : callerPorts(platform)) {
        CHECK(platform.waitForStatus(200, port, "/added/0", "key-added"));
        CHECK(platform.waitForStatus(401, port, "/past/0", "key-removed"));
    }
    return copy;
}

/** @return Hosts with a record in the topic in which nodes announce themselves. */
std::set<std::string> announcedHosts(test::PlatformFleet &platform)
{
    const StoreStandIn::Topics topics = platform.store.copy();
    std::set<std::string> hosts;
    if (const auto topic = topics.find(AnnounceTopic); topic != topics.end()) {
        for (const StoreStandIn::Record &record : topic->second.records) {
            hosts.insert(record.key);
        }
    }
    return hosts;
}

}

TEST_GROUP(AStoreRestoredFromACopy){};

// Guards against nodes that return to an older version, or stop serving keys, until the operator has written again.
TEST(AStoreRestoredFromACopy, receivesTheLostVersionAgain)
{
    test::PlatformFleet platform;
    const StoreStandIn::Topics copy = beginWithLostVersion(platform);
    restore(platform, copy);
    section("until the operator writes again, no node returns to the older version",
            [&] { expectNoOlderVersionDuring(platform, callerPorts(platform), 1s); });
    section("the same version at another offset is served", [&] {
        writeOtherRecords(platform, 2);
        write(platform, lostVersion());
        expectServed(platform, callerPorts(platform), "key-added");
        section("and keys are still proved after the staleness limit", [&] {
            expectNoOlderVersionDuring(platform, callerPorts(platform), PastKeyStaleness);
            expectServed(platform, callerPorts(platform), "key-added");
        });
    });
    section("a later version is applied", [&] {
        write(platform, laterVersion(7, "key-later"));
        expectServed(platform, callerPorts(platform), "key-later");
    });
}

// Guards against nodes that refuse the log of a new era because it has other records at the offsets that they applied.
TEST(AStoreRestoredFromACopy, hasGrownPastTheAppliedOffsets)
{
    test::PlatformFleet platform;
    const StoreStandIn::Topics copy = beginWithLostVersion(platform);
    platform.store.setUnavailable(true);
    std::this_thread::sleep_for(Absence);
    platform.store.restore(copy);
    section("records of other keys take the offsets of the lost version", [&] {
        writeOtherRecords(platform, 5);
        platform.store.setUnavailable(false);
        expectNoOlderVersionDuring(platform, callerPorts(platform), PastKeyStaleness);
        expectServed(platform, callerPorts(platform), "key-added");
    });
    section("the lost version is written again", [&] {
        write(platform, lostVersion());
        expectNoOlderVersionDuring(platform, callerPorts(platform), 1s);
    });
    section("a later version is applied", [&] {
        write(platform, laterVersion(7, "key-later"));
        expectServed(platform, callerPorts(platform), "key-later");
    });
}

// Guards against nodes that follow the log of the first new era but not the log of the next one.
TEST(AStoreRestoredFromACopy, isRestoredAgain)
{
    test::PlatformFleet platform;
    const StoreStandIn::Topics copy = beginWithLostVersion(platform);
    section("a second restore follows before the operator writes again", [&] {
        restore(platform, copy);
        expectNoOlderVersionDuring(platform, callerPorts(platform), 1s);
        restore(platform, copy);
        expectNoOlderVersionDuring(platform, callerPorts(platform), 1s);
    });
    section("the lost version is written and lost a third time", [&] {
        write(platform, lostVersion());
        expectServed(platform, callerPorts(platform), "key-added");
        restore(platform, copy);
        expectNoOlderVersionDuring(platform, callerPorts(platform), PastKeyStaleness);
        expectServed(platform, callerPorts(platform), "key-added");
    });
    section("two restores in one absence are noticed as one", [&] {
        platform.store.setUnavailable(true);
        platform.store.restore(copy);
        writeOtherRecords(platform, 3);
        restore(platform, copy);
        write(platform, lostVersion());
        expectServed(platform, callerPorts(platform), "key-added");
    });
    section("a later version is applied", [&] {
        write(platform, laterVersion(7, "key-later"));
        expectServed(platform, callerPorts(platform), "key-later");
    });
}

// Guards against nodes that drop their configuration when the store has none, and against a new node that becomes ready
// without the configuration that the others have.
TEST(AStoreRestoredFromACopy, isEmpty)
{
    test::PlatformFleet platform;
    beginWithLostVersion(platform);
    restore(platform, {});
    section("nodes serve what they know, also after the staleness limit", [&] {
        expectNoOlderVersionDuring(platform, callerPorts(platform), PastKeyStaleness);
        expectServed(platform, callerPorts(platform), "key-added");
    });
    const test::PlatformNode third = platform.start("h3", "a", "third");
    section("a node that is started now becomes ready with the configuration of the others", [&] {
        expectNoOlderVersionDuring(platform, {third.callerPort}, 1s);
        CHECK(waitUntil([&] {
            expectNoOlderVersion(platform, third.callerPort);
            return platform.status(third.operatorPort, "GET", "/api/ready") == 200;
        }));
        expectServed(platform, {third.callerPort}, "key-added");
        LONGS_EQUAL(401, platform.status(third.callerPort, "GET", "/past/3", {}, "key-removed"));
    });
    section("once the operator has written again, all nodes agree and apply a later version", [&] {
        std::vector<std::uint16_t> ports = callerPorts(platform);
        ports.push_back(third.callerPort);
        write(platform, lostVersion());
        expectServed(platform, ports, "key-added");
        write(platform, laterVersion(7, "key-later"));
        expectServed(platform, ports, "key-later");
    });
}

// Guards against a new node that becomes ready with the older version of the restored store.
TEST(AStoreRestoredFromACopy, isReadByANewNode)
{
    test::PlatformFleet platform;
    const StoreStandIn::Topics copy = beginWithLostVersion(platform);
    restore(platform, copy);
    const test::PlatformNode third = platform.start("h3", "a", "third");
    section("it becomes ready with the configuration of the others", [&] {
        CHECK(waitUntil([&] { return platform.status(third.operatorPort, "GET", "/api/ready") == 200; }));
        expectNoOlderVersionDuring(platform, {third.callerPort}, 1s);
        expectServed(platform, {third.callerPort}, "key-added");
    });
    section("the others keep their version", [&] {
        expectNoOlderVersionDuring(platform, callerPorts(platform), 1s);
        expectServed(platform, callerPorts(platform), "key-added");
    });
}

// Guards against a new node that accepts a removed key, or denies an added one, in the time before it is ready.
TEST(AStoreRestoredFromACopy, isReadByANodeThatIsNotReady)
{
    test::PlatformFleet platform;
    const StoreStandIn::Topics copy = beginWithLostVersion(platform);
    restore(platform, copy);
    const test::PlatformNode third = platform.start("h3", "a", "third");
    section("before it has asked the others, callers are told to come back", [&] {
        CHECK(waitUntil([&] {
            platform.heartbeat("ready");
            expectNoOlderVersion(platform, third.callerPort);
            return platform.status(third.operatorPort, "GET", "/api/ready") == 200;
        }));
    });
}

// Guards against nodes that announce themselves only at their start, so that later nodes do not find them.
TEST(AStoreRestoredFromACopy, hasLostAnnouncements)
{
    test::PlatformFleet platform;
    StoreStandIn::Topics copy = beginWithLostVersion(platform);
    const std::set<std::string> hosts{"h1", "h2"};
    CHECK(waitUntil([&] { return announcedHosts(platform) == hosts; }));
    section("all of them", [&] {
        copy.erase(AnnounceTopic);
        restore(platform, copy);
        CHECK(waitUntil([&] { return announcedHosts(platform) == hosts; }));
    });
    section("one of them", [&] {
        copy = platform.store.copy();
        std::erase_if(copy[AnnounceTopic].records,
                      [](const StoreStandIn::Record &record) { return record.key == "h2"; });
        restore(platform, copy);
        CHECK(waitUntil([&] { return announcedHosts(platform) == hosts; }));
    });
}

// Guards against nodes whose configuration is proved only by the version that was lost.
TEST(AStoreRestoredFromACopy, receivesTheNextVersionOnly)
{
    test::PlatformFleet platform;
    const StoreStandIn::Topics copy = beginWithLostVersion(platform);
    restore(platform, copy);
    section("without the lost version, nodes go on with it, also after the staleness limit", [&] {
        expectNoOlderVersionDuring(platform, callerPorts(platform), PastKeyStaleness);
        expectServed(platform, callerPorts(platform), "key-added");
    });
    section("the next version is applied, at the offset of the lost one", [&] {
        write(platform, laterVersion(7, "key-later"));
        expectServed(platform, callerPorts(platform), "key-later");
    });
}

// Guards against a node that compares offsets of different eras with its peers or the store.
TEST(AStoreRestoredFromACopy, isReachedLaterByOneNode)
{
    test::PlatformFleet platform;
    const StoreStandIn::Topics copy = beginWithLostVersion(platform);
    section("the second node is cut off while the store is restored", [&] {
        platform.secondToStore->setFaults({.delay = {}, .cut = tools::Cut::Both, .loss = 0});
        restore(platform, copy);
        expectNoOlderVersionDuring(platform, callerPorts(platform), 2s);
    });
    section("the lost version and a later one reach it through the first node", [&] {
        writeOtherRecords(platform, 2);
        write(platform, lostVersion());
        expectNoOlderVersionDuring(platform, callerPorts(platform), 1s);
        write(platform, laterVersion(7, "key-later"));
        expectServed(platform, callerPorts(platform), "key-later");
    });
    section("it reaches the store again and does not return to an older version", [&] {
        platform.secondToStore->setFaults({});
        platform.secondToStore->closeConnections();
        expectNoOlderVersionDuring(platform, callerPorts(platform), PastKeyStaleness, "key-later");
        expectServed(platform, callerPorts(platform), "key-later");
    });
    section("a further version is applied", [&] {
        write(platform, laterVersion(9, "key-last"));
        expectServed(platform, callerPorts(platform), "key-last");
    });
}
