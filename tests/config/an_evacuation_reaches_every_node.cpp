#include "config/fleet.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using config::ResourceType;
using test::Fleet;
using test::section;

namespace {

bool isEvacuated(Fleet &fleet, const std::string &node, const std::string &dataCentre)
{
    return fleet.service(node).catalogue()->isEvacuated(core::DataCentreId(dataCentre));
}

}

TEST_GROUP(AnEvacuationReachesEveryNode){};

// Guards against a node that still sends to an evacuated data centre although it is in touch, and against an evacuation
// that is in force although the operator was told that it is not.
TEST(AnEvacuationReachesEveryNode, thatIsInTouch)
{
    Fleet fleet;
    fleet.add("a");
    fleet.add("b");
    auto &cutOff = fleet.add("c", false);
    fleet.put("a", ResourceType::Priority, "p", R"({"level":3})");
    fleet.until([&] { return fleet.service("b").isReady() && fleet.service("c").isReady(); });
    section("a node that is cut off keeps the old view", [&] {
        cutOff.isReachable = false;
        fleet.put("a", ResourceType::Evacuation, "north", "{}");
        fleet.until([&] { return isEvacuated(fleet, "b", "north"); });
        CHECK_TRUE(isEvacuated(fleet, "a", "north"));
        CHECK_FALSE(isEvacuated(fleet, "c", "north"));
    });
    section("it has the evacuation once it is in touch again", [&] {
        cutOff.isReachable = true;
        const core::Offset offset = fleet.service("a").catalogue()->appliedOffset();
        fleet.wait(fleet.service("c").pullFrom(core::HostId("a"), offset));
        CHECK_TRUE(isEvacuated(fleet, "c", "north"));
    });
    section("the store is down between the request and its acknowledgement", [&] {
        fleet.log.isDown = true;
        const auto outcome = fleet.wait(fleet.service("a").put(ResourceType::Evacuation, "south", "{}", {}));
        CHECK_FALSE(outcome.has_value());
        fleet.log.isDown = false;
        fleet.put("a", ResourceType::Priority, "q", R"({"level":3})");
        CHECK_FALSE(isEvacuated(fleet, "a", "south"));
    });
    section("two data centres at once", [&] {
        fleet.put("b", ResourceType::Evacuation, "south", "{}");
        fleet.until([&] { return isEvacuated(fleet, "a", "south"); });
        CHECK_TRUE(isEvacuated(fleet, "a", "north"));
    });
    section("one is taken back, the other stays evacuated", [&] {
        CHECK_TRUE(fleet.wait(fleet.service("b").remove(ResourceType::Evacuation, "north", {})).has_value());
        fleet.until([&] { return !isEvacuated(fleet, "a", "north"); });
        CHECK_TRUE(isEvacuated(fleet, "a", "south"));
    });
    section("a node that starts has the evacuation before it is ready", [&] {
        fleet.add("d");
        fleet.until([&] { return fleet.service("d").isReady(); });
        CHECK_TRUE(isEvacuated(fleet, "d", "south"));
    });
}
