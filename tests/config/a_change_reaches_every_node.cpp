#include "config/fleet.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using config::ResourceType;
using test::Fleet;
using test::section;

namespace {

const std::string Prio = R"({"level":3})";

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
    section("the first change of an empty log is accepted, although offset 0 is no version", [&] {
        LONGS_EQUAL(1, fleet.put("a", ResourceType::Priority, "p", Prio));
        CHECK_TRUE(fleet.service("a").isReady());
    });
    section("the other node follows the log", [&] {
        fleet.until([&] { return hasPriority(fleet, "b", "p"); });
        CHECK_TRUE(fleet.service("b").lastLogContact().has_value());
    });
    section("of two operators that start from one version, only the first wins", [&] {
        const auto first = fleet.wait(fleet.service("b").put(ResourceType::Priority, "p", R"({"level":4})", 1));
        const auto second = fleet.wait(fleet.service("a").put(ResourceType::Priority, "p", R"({"level":5})", 1));
        CHECK_TRUE(first.has_value());
        CHECK_TRUE(!second && second.error().code() == config::ErrorCode::Conflict);
        LONGS_EQUAL(4, (*fleet.service("a").catalogue()->findPriority(config::PriorityId("p")))->level);
    });
    section("what cannot be valid does not get into the log", [&] {
        const std::size_t before = fleet.log.size("config");
        const auto outcome = fleet.wait(fleet.service("a").put(ResourceType::Priority, "q", R"({"level":8})", {}));
        CHECK_TRUE(!outcome && outcome.error().code() == config::ErrorCode::Invalid);
        STRCMP_EQUAL("level: 8 is not an integer from 0 to 7", outcome.error().detail().c_str());
        LONGS_EQUAL(before, fleet.log.size("config"));
    });
    section("deleting what is not there is told", [&] {
        const auto outcome = fleet.wait(fleet.service("a").remove(ResourceType::Priority, "nobody", {}));
        CHECK_TRUE(!outcome && outcome.error().code() == config::ErrorCode::NotFound);
    });
}
