#include "config/fleet.h"
#include "config/records.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using config::ResourceType;
using config::WriteState;
using test::Fleet;
using test::section;

namespace {

void startWithKeys(Fleet &fleet)
{
    fleet.add("a");
    fleet.add("b");
    fleet.put("a", ResourceType::Workspace, "abay", "{}");
    fleet.put("a", ResourceType::Key, "k1", test::keyBody("abay", "one"));
    const core::Offset last = fleet.put("a", ResourceType::Key, "k2", test::keyBody("abay", "two"));
    fleet.until([&] { return fleet.service("b").catalogue()->appliedOffset() > last; });
}

bool isWithdrawn(Fleet &fleet, const std::string &node, const std::string &secret)
{
    return fleet.service(node).isKeyWithdrawn(core::sha256(secret));
}

}

TEST_GROUP(AWithdrawnKeyStaysOut){};

TEST(AWithdrawnKeyStaysOut, withTheLogAnswering)
{
    Fleet fleet;
    startWithKeys(fleet);
    section("the withdrawal is recorded", [&] {
        const auto outcome = fleet.wait(fleet.service("a").remove(ResourceType::Key, "k1", {}));
        CHECK_TRUE(outcome.has_value() && outcome->state == WriteState::Recorded && outcome->change.has_value());
        CHECK_TRUE(isWithdrawn(fleet, "a", "one") && isWithdrawn(fleet, "b", "one"));
        CHECK_FALSE(isWithdrawn(fleet, "a", "two"));
    });
    section("a withdrawal with an outdated version is a conflict", [&] {
        const auto outcome = fleet.wait(fleet.service("b").remove(ResourceType::Key, "k2", 1));
        CHECK_TRUE(!outcome && outcome.error().code() == config::ErrorCode::Conflict);
        CHECK_FALSE(isWithdrawn(fleet, "b", "two"));
    });
    section("the digest is never accepted again", [&] {
        const auto outcome =
            fleet.wait(fleet.service("b").put(ResourceType::Key, "k3", test::keyBody("abay", "one"), {}));
        CHECK_TRUE(!outcome && outcome.error().code() == config::ErrorCode::Conflict);
    });
}

TEST(AWithdrawnKeyStaysOut, withTheLogDown)
{
    Fleet fleet;
    startWithKeys(fleet);
    fleet.log.isDown = true;
    section("peers store the withdrawal, and it is in force on all nodes at once", [&] {
        const auto outcome = fleet.wait(fleet.service("a").remove(ResourceType::Key, "k1", {}));
        CHECK_TRUE(outcome.has_value() && outcome->state == WriteState::Announced);
        LONGS_EQUAL(1, outcome->peers);
        CHECK_TRUE(isWithdrawn(fleet, "a", "one") && isWithdrawn(fleet, "b", "one"));
    });
    section("a node that starts during the outage gets it from a peer", [&] {
        fleet.add("c");
        fleet.until([&] { return fleet.service("c").isReady() && isWithdrawn(fleet, "c", "one"); });
    });
    section("an unreachable peer gets it once it is reachable again", [&] {
        auto &late = fleet.add("d");
        fleet.until([&] { return fleet.service("d").isReady(); });
        late.isReachable = false;
        (void)fleet.wait(fleet.service("a").remove(ResourceType::Key, "k2", {}));
        CHECK_FALSE(isWithdrawn(fleet, "d", "two"));
        late.isReachable = true;
        fleet.until([&] { return isWithdrawn(fleet, "d", "two"); });
    });
    section("both withdrawals are recorded once the log is available again", [&] {
        fleet.log.isDown = false;
        fleet.until([&] {
            return fleet.service("b").catalogue()->isWithdrawn(core::sha256("one"))
                   && fleet.service("b").catalogue()->isWithdrawn(core::sha256("two"));
        });
        LONGS_EQUAL(2, fleet.service("b").catalogue()->withdrawnCount());
    });
}

TEST(AWithdrawnKeyStaysOut, whenTheNodeThatTookTheOrderIsLost)
{
    Fleet fleet;
    fleet.settings.withdrawalTakeover = std::chrono::milliseconds(1);
    startWithKeys(fleet);
    fleet.log.isDown = true;
    (void)fleet.wait(fleet.service("a").remove(ResourceType::Key, "k1", {}));
    fleet.stop("a");
    fleet.log.isDown = false;
    fleet.until([&] { return fleet.service("b").catalogue()->isWithdrawn(core::sha256("one")); });
    POINTERS_EQUAL(nullptr, fleet.service("b").catalogue()->findKey(core::sha256("one")));
}

TEST(AWithdrawnKeyStaysOut, alsoWhenNobodyElseKnowsItYet)
{
    Fleet fleet;
    fleet.add("a");
    fleet.put("a", ResourceType::Workspace, "abay", "{}");
    fleet.put("a", ResourceType::Key, "k1", test::keyBody("abay", "one"));
    fleet.log.isDown = true;
    const auto outcome = fleet.wait(fleet.service("a").remove(ResourceType::Key, "k1", {}));
    CHECK_TRUE(!outcome && outcome.error().code() == config::ErrorCode::Unavailable);
    CHECK_TRUE(outcome.error().maybeApplied());
    CHECK_TRUE(isWithdrawn(fleet, "a", "one"));
}
