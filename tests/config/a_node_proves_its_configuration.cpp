#include "config/fleet.h"
#include "config/records.h"
#include "support/section.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using config::ResourceType;
using test::Fleet;
using test::putRecord;
using test::section;

namespace {

constexpr const char *LevelThree = R"({"level":3})";

/** @brief Nodes that must prove that their configuration is the newest. */
class ProvingFleet : public Fleet
{
public:
    explicit ProvingFleet(core::Duration fallback)
    {
        settings.proofRefresh = 1ns;
        settings.proofFallback = fallback;
        log.push("config", "the first record never takes effect");
        log.push("config", putRecord("op-1", ResourceType::Priority, "p", LevelThree));
    }

    [[nodiscard]] core::TimePoint provenAt(const std::string &node)
    {
        return service(node).provenAt().value_or(core::TimePoint());
    }
};

core::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

}

TEST_GROUP(ANodeProvesItsConfiguration){};

// Guards against a key that is accepted by a node which only believes that it knows the newest configuration.
TEST(ANodeProvesItsConfiguration, byReadingTheEndOfTheLog)
{
    ProvingFleet fleet(1h);
    fleet.add("a");
    const core::TimePoint start = now();
    fleet.until([&] { return fleet.provenAt("a") > start; });
    section("the proof is as old as the read, not as its answer", [&] { CHECK_TRUE(fleet.provenAt("a") <= now()); });
    section("without the log there is no newer proof", [&] {
        fleet.log.isDown = true;
        fleet.until([&, until = now() + 50ms] { return now() > until; });
        const core::TimePoint last = fleet.provenAt("a");
        fleet.until([&, until = now() + 50ms] { return now() > until; });
        CHECK_TRUE(fleet.provenAt("a") == last);
    });
    section("it comes back with the log", [&] {
        fleet.log.isDown = false;
        const core::TimePoint back = now();
        fleet.until([&] { return fleet.provenAt("a") > back; });
    });
}

// Guards against a fleet that asks the log as often as it has nodes.
TEST(ANodeProvesItsConfiguration, byAskingAReader)
{
    ProvingFleet fleet(1h);
    fleet.add("a");
    fleet.add("b", false);
    fleet.until([&] { return fleet.service("b").isReady(); });
    const core::TimePoint start = now();
    fleet.until([&] { return fleet.provenAt("b") > start; });
    section("the proof is never newer than that of the reader", [&] {
        for (int i = 0; i < 50; ++i) {
            const core::TimePoint proven = fleet.provenAt("b");
            fleet.until([&] { return fleet.provenAt("b") > proven; });
            CHECK_TRUE(fleet.provenAt("b") <= fleet.provenAt("a"));
        }
    });
    section("it holds for all records that were there", [&] {
        fleet.log.push("config", putRecord("op-2", ResourceType::Priority, "q", LevelThree));
        const core::TimePoint pushed = now();
        fleet.until([&] { return fleet.provenAt("b") > pushed; });
        CHECK_TRUE(fleet.service("b").catalogue()->findPriority(config::PriorityId("q")) != nullptr);
    });
}

// Guards against keys that are refused on hosts that reach the log while the reader of their data centre does not.
TEST(ANodeProvesItsConfiguration, byItselfWhenTheReaderCannot)
{
    ProvingFleet fleet(5ms);
    fleet.add("a").isReachable = false;
    fleet.add("b", false);
    const core::TimePoint start = now();
    fleet.until([&] { return fleet.provenAt("b") > start; });
}
