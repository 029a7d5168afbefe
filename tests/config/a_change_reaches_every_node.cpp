#include "config/fleet.h"
#include "config/records.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using config::ResourceType;
using test::Fleet;
using test::putRecord;
using test::section;

namespace {

constexpr const char *LevelThree = R"({"level":3})";

bool hasPriority(Fleet &fleet, const std::string &node, const std::string &name)
{
    return fleet.service(node).catalogue()->findPriority(config::PriorityId(name)) != nullptr;
}

}

TEST_GROUP(AChangeReachesEveryNode){};

TEST(AChangeReachesEveryNode, whenTheLogAnswers)
{
    Fleet fleet;
    fleet.add("a");
    fleet.add("b");
    section("the first change in an empty log is accepted, although offset 0 is not a valid version", [&] {
        LONGS_EQUAL(1, fleet.put("a", ResourceType::Priority, "p", LevelThree));
        fleet.until([&] { return fleet.service("a").isReady(); });
    });
    section("the other node follows the log", [&] {
        fleet.until([&] { return hasPriority(fleet, "b", "p"); });
        CHECK_TRUE(fleet.service("b").lastLogContact().has_value());
    });
    section("of two changes to the same version, only the first is accepted", [&] {
        const auto first = fleet.wait(fleet.service("b").put(ResourceType::Priority, "p", R"({"level":4})", 1));
        const auto second = fleet.wait(fleet.service("a").put(ResourceType::Priority, "p", R"({"level":5})", 1));
        CHECK_TRUE(first.has_value());
        CHECK_TRUE(!second && second.error().code() == config::ErrorCode::Conflict);
        LONGS_EQUAL(4, (*fleet.service("a").catalogue()->findPriority(config::PriorityId("p")))->level);
    });
    section("an invalid resource is not appended to the log", [&] {
        const std::size_t before = fleet.log.size("config");
        const auto outcome = fleet.wait(fleet.service("a").put(ResourceType::Priority, "q", R"({"level":8})", {}));
        CHECK_TRUE(!outcome && outcome.error().code() == config::ErrorCode::Invalid);
        STRCMP_EQUAL("level: 8 is not an integer from 0 to 7", outcome.error().detail().c_str());
        LONGS_EQUAL(before, fleet.log.size("config"));
    });
    section("deleting a missing resource returns NotFound", [&] {
        const auto outcome = fleet.wait(fleet.service("a").remove(ResourceType::Priority, "nobody", {}));
        CHECK_TRUE(!outcome && outcome.error().code() == config::ErrorCode::NotFound);
    });
}

TEST(AChangeReachesEveryNode, whenTheLogLosesAnswers)
{
    Fleet fleet;
    fleet.add("a");
    fleet.put("a", ResourceType::Priority, "p", LevelThree);
    section("an append whose answer was lost is found by its operation and not repeated", [&] {
        const std::size_t before = fleet.log.size("config");
        fleet.log.answersToLose = 1;
        LONGS_EQUAL(before, fleet.put("a", ResourceType::Priority, "q", LevelThree));
        LONGS_EQUAL(before + 1, fleet.log.size("config"));
    });
    section("a lost append is repeated", [&] {
        fleet.log.appendsToLose = 2;
        fleet.put("a", ResourceType::Priority, "r", LevelThree);
    });
    section("an unconfirmed change is reported as maybe applied, and a late duplicate has no effect", [&] {
        fleet.log.appendsToLose = 3;
        const auto outcome = fleet.wait(fleet.service("a").put(ResourceType::Priority, "s", LevelThree, {}));
        CHECK_TRUE(!outcome && outcome.error().code() == config::ErrorCode::Unavailable);
        CHECK_TRUE(outcome.error().maybeApplied());
        fleet.put("a", ResourceType::Priority, "r", R"({"level":5})");
        fleet.log.push("config", fleet.log.records("config").at(3));
        fleet.put("a", ResourceType::Priority, "t", LevelThree);
        LONGS_EQUAL(5, (*fleet.service("a").catalogue()->findPriority(config::PriorityId("r")))->level);
    });
}

TEST(AChangeReachesEveryNode, whenTheLogWasDown)
{
    Fleet fleet;
    fleet.add("a");
    fleet.add("b");
    fleet.put("a", ResourceType::Priority, "p", LevelThree);
    fleet.until([&] { return hasPriority(fleet, "b", "p"); });
    fleet.log.isDown = true;
    section("a write fails without effect, and reads continue", [&] {
        const auto outcome = fleet.wait(fleet.service("a").put(ResourceType::Priority, "q", LevelThree, {}));
        CHECK_TRUE(!outcome && outcome.error().code() == config::ErrorCode::Unavailable);
        CHECK_FALSE(outcome.error().maybeApplied());
        CHECK_TRUE(fleet.service("a").isReady() && hasPriority(fleet, "a", "p"));
    });
    section("a node that starts during the outage gets the configuration from a peer", [&] {
        fleet.add("c");
        fleet.until([&] { return fleet.service("c").isReady(); });
        CHECK_TRUE(hasPriority(fleet, "c", "p"));
        CHECK_FALSE(fleet.service("c").lastLogContact().has_value());
    });
    section("a node that starts without peers is not ready", [&] {
        Fleet other;
        auto &node = other.add("a");
        other.log.isDown = true;
        other.until([&] { return !node.reports.empty(); });
        CHECK_FALSE(other.service("a").isReady());
    });
    section("all nodes follow the log after the outage", [&] {
        fleet.log.isDown = false;
        fleet.put("c", ResourceType::Priority, "r", LevelThree);
        fleet.until([&] { return hasPriority(fleet, "a", "r") && hasPriority(fleet, "b", "r"); });
    });
}

TEST(AChangeReachesEveryNode, whenRecordsHaveExpired)
{
    Fleet fleet;
    auto &writer = fleet.add("a");
    writer.snapshotRank = 0;
    fleet.put("a", ResourceType::Priority, "p", LevelThree);
    fleet.until([&] { return fleet.log.size("snapshot") > 0; });
    const core::Offset covered = fleet.service("a").catalogue()->appliedOffset();
    fleet.put("a", ResourceType::Priority, "q", LevelThree);
    fleet.stop("a");
    section("a new node loads the snapshot and the records after it", [&] {
        fleet.log.dropBefore("config", covered);
        fleet.add("b");
        fleet.until([&] { return fleet.service("b").isReady() && hasPriority(fleet, "b", "q"); });
        CHECK_TRUE(hasPriority(fleet, "b", "p"));
    });
    section("without a snapshot that covers the gap, a new node folds no later records and reports it", [&] {
        fleet.log.dropBefore("config", covered + 1);
        fleet.stop("b");
        auto &node = fleet.add("c");
        fleet.until([&] { return !node.reports.empty(); });
        CHECK_FALSE(hasPriority(fleet, "c", "q"));
    });
}

TEST(AChangeReachesEveryNode, whenTheLogIsEmptiedOrHoldsGarbage)
{
    Fleet fleet;
    auto &node = fleet.add("a");
    for (const char *garbage : {"", "garbage", "{}", "\xff\xfe", R"({"operation_id":"x","kind":"put"})"}) {
        fleet.log.push("config", garbage);
    }
    fleet.put("a", ResourceType::Priority, "p", LevelThree);
    CHECK_FALSE(node.reports.empty());
    const core::Offset applied = fleet.service("a").catalogue()->appliedOffset();
    section("a log that restarts at lower offsets is reported and ignored", [&] {
        node.reports.clear();
        fleet.log.clear("config");
        fleet.until([&] { return !node.reports.empty(); });
        LONGS_EQUAL(applied, fleet.service("a").catalogue()->appliedOffset());
        CHECK_TRUE(hasPriority(fleet, "a", "p"));
    });
    section("the same holds after it has grown beyond the applied offset with other records", [&] {
        for (core::Offset offset = 0; offset < applied + 2; ++offset) {
            fleet.log.push("config", "{}");
        }
        CHECK_FALSE(fleet.wait(fleet.service("a").remove(ResourceType::Key, "none", {})).has_value());
        LONGS_EQUAL(applied, fleet.service("a").catalogue()->appliedOffset());
    });
}

TEST(AChangeReachesEveryNode, butNotFromALogThatCameBackWithOtherRecords)
{
    Fleet fleet;
    auto &node = fleet.add("a");
    fleet.put("a", ResourceType::Priority, "p", LevelThree);
    const core::Offset applied = fleet.service("a").catalogue()->appliedOffset();
    fleet.log.isDown = true;
    fleet.until([&] { return !node.reports.empty(); });
    fleet.log.clear("config");
    for (core::Offset offset = 0; offset < applied + 3; ++offset) {
        fleet.log.push("config", "{}");
    }
    node.reports.clear();
    fleet.log.isDown = false;
    fleet.until([&] { return !node.reports.empty(); });
    LONGS_EQUAL(applied, fleet.service("a").catalogue()->appliedOffset());
}

// Guards against a follower that takes the records after its own for a changed history and ignores the log for good.
TEST(AChangeReachesEveryNode, fromACompactedLogThatWasDownMeanwhile)
{
    Fleet fleet;
    fleet.log.keepsOnlyNewest = true;
    fleet.log.push("config", putRecord("op-0", ResourceType::Priority, "none", LevelThree));
    fleet.log.push("config", putRecord("op-1", ResourceType::Priority, "p", LevelThree));
    auto &node = fleet.add("a");
    fleet.until([&] { return hasPriority(fleet, "a", "p"); });
    fleet.log.isDown = true;
    fleet.until([&] { return !node.reports.empty(); });
    node.reports.clear();
    fleet.log.push("config", putRecord("op-2", ResourceType::Priority, "q", LevelThree));
    fleet.log.isDown = false;
    fleet.until([&] { return hasPriority(fleet, "a", "q") || !node.reports.empty(); });
    CHECK_TRUE(hasPriority(fleet, "a", "q"));
    CHECK_TRUE(node.reports.empty());
}

// Guards against a follower that ignores the log for good because a peer with other settings has encoded the same
// document differently.
TEST(AChangeReachesEveryNode, fromALogWhoseLastRecordAPeerEncodesDifferently)
{
    Fleet fleet;
    fleet.log.push("config", putRecord("op-0", ResourceType::Priority, "none", LevelThree));
    fleet.log.push("config", putRecord("op-1", ResourceType::Priority, "p", LevelThree));
    auto &node = fleet.add("a");
    fleet.until([&] { return hasPriority(fleet, "a", "p"); });
    fleet.log.isDown = true;
    fleet.until([&] { return !node.reports.empty(); });
    node.reports.clear();
    fleet.log.clear("config");
    fleet.log.push("config", putRecord("op-0", ResourceType::Priority, "none", LevelThree));
    fleet.log.push("config", putRecord("op-1", ResourceType::Priority, "p", R"({"level":3,"worth":1})"));
    fleet.log.push("config", putRecord("op-2", ResourceType::Priority, "q", LevelThree));
    fleet.log.isDown = false;
    fleet.until([&] { return hasPriority(fleet, "a", "q") || !node.reports.empty(); });
    CHECK_TRUE(hasPriority(fleet, "a", "q"));
    CHECK_TRUE(node.reports.empty());
}

TEST(AChangeReachesEveryNode, fromPeerToPeer)
{
    Fleet fleet;
    fleet.settings.historyRecords = 4;
    fleet.add("a");
    fleet.put("a", ResourceType::Priority, "p0", LevelThree);
    fleet.add("b", false);
    fleet.until([&] { return fleet.service("b").isReady(); });
    const core::Offset before = fleet.service("b").catalogue()->appliedOffset();
    section("a node that is not a reader gets changes only by a pull", [&] {
        fleet.put("a", ResourceType::Priority, "p1", LevelThree);
        LONGS_EQUAL(before, fleet.service("b").catalogue()->appliedOffset());
        fleet.wait(fleet.service("b").pullFrom(core::HostId("a"), before + 1));
        CHECK_TRUE(hasPriority(fleet, "b", "p1"));
    });
    section("a node that is behind the history of its peer gets the whole catalogue", [&] {
        for (int i = 2; i < 20; ++i) {
            fleet.put("a", ResourceType::Priority, "p" + std::to_string(i), LevelThree);
        }
        fleet.wait(fleet.service("b").pullFrom(core::HostId("a"), before + 5));
        STRCMP_EQUAL(fleet.service("a").catalogue()->toJson().c_str(),
                     fleet.service("b").catalogue()->toJson().c_str());
    });
    section("a pull from a peer that is behind does not lower the applied offset", [&] {
        fleet.put("b", ResourceType::Priority, "q", LevelThree);
        const core::Offset ahead = fleet.service("b").catalogue()->appliedOffset();
        fleet.wait(fleet.service("b").pullFrom(core::HostId("a"), ahead + 9));
        LONGS_EQUAL(ahead, fleet.service("b").catalogue()->appliedOffset());
    });
    section("an unreachable peer ends the pull", [&] {
        fleet.wait(fleet.service("b").pullFrom(core::HostId("gone"), 1000));
        CHECK_TRUE(hasPriority(fleet, "b", "q"));
    });
}
