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

/** @brief Nodes that must prove that their configuration is current. */
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

// Guards against a node that accepts keys without a recent proof that its configuration is current.
TEST(ANodeProvesItsConfiguration, byReadingTheEndOfTheLog)
{
    ProvingFleet fleet(1h);
    fleet.add("a");
    const core::TimePoint start = now();
    fleet.until([&] { return fleet.provenAt("a") > start; });
    section("the proof has the time of the read, not of its response",
            [&] { CHECK_TRUE(fleet.provenAt("a") <= now()); });
    section("there is no newer proof while the log is down", [&] {
        fleet.log.isDown = true;
        fleet.until([&, until = now() + 50ms] { return now() > until; });
        const core::TimePoint last = fleet.provenAt("a");
        fleet.until([&, until = now() + 50ms] { return now() > until; });
        CHECK_TRUE(fleet.provenAt("a") == last);
    });
    section("there are newer proofs once the log is available again", [&] {
        fleet.log.isDown = false;
        const core::TimePoint back = now();
        fleet.until([&] { return fleet.provenAt("a") > back; });
    });
}

// Guards against a load on the log that grows with the number of nodes.
TEST(ANodeProvesItsConfiguration, byAskingAReader)
{
    ProvingFleet fleet(1h);
    fleet.add("a");
    fleet.add("b", false);
    fleet.until([&] { return fleet.service("b").isReady(); });
    const core::TimePoint start = now();
    fleet.until([&] { return fleet.provenAt("b") > start; });
    section("the proof is never newer than the reader's proof", [&] {
        for (int i = 0; i < 50; ++i) {
            const core::TimePoint proven = fleet.provenAt("b");
            fleet.until([&] { return fleet.provenAt("b") > proven; });
            CHECK_TRUE(fleet.provenAt("b") <= fleet.provenAt("a"));
        }
    });
    section("the catalogue includes all records that the log had at the time of the proof", [&] {
        fleet.log.push("config", putRecord("op-2", ResourceType::Priority, "q", LevelThree));
        const core::TimePoint pushed = now();
        fleet.until([&] { return fleet.provenAt("b") > pushed; });
        CHECK_TRUE(fleet.service("b").catalogue()->findPriority(config::PriorityId("q")) != nullptr);
    });
}

// Guards against a node that accepts a removed key because it takes the first of several batches for all records.
TEST(ANodeProvesItsConfiguration, byTheLastBatchOfAReaderOnly)
{
    ProvingFleet fleet(1h);
    fleet.add("a");
    fleet.log.push("config", putRecord("op-2", ResourceType::Priority, "q", LevelThree));
    const core::TimePoint pushed = now();
    fleet.until([&] { return fleet.provenAt("a") > pushed; });
    const auto batchFrom = [&](core::Offset from) {
        const wire::Message pull(wire::RecordPull({.from = from, .limit = 1}));
        const wire::Message answer = fleet.wait(fleet.service("a").handle(core::HostId("b"), pull));
        return std::get<wire::RecordBatch>(answer);
    };
    section("a batch with more records behind it has no proof", [&] {
        LONGS_EQUAL(2, batchFrom(1)->next);
        CHECK_FALSE(batchFrom(1)->proofAge.has_value());
    });
    section("the last one has a proof", [&] {
        LONGS_EQUAL(3, batchFrom(2)->next);
        CHECK_TRUE(batchFrom(2)->proofAge.has_value());
        CHECK_TRUE(batchFrom(3)->proofAge.has_value());
    });
}

// Guards against refused keys on a host that reaches the log while the reader of its data centre is unreachable.
TEST(ANodeProvesItsConfiguration, byItselfWhenTheReaderCannot)
{
    ProvingFleet fleet(5ms);
    fleet.add("a").isReachable = false;
    fleet.add("b", false);
    const core::TimePoint start = now();
    fleet.until([&] { return fleet.provenAt("b") > start; });
}

// Guards against nodes that go back to an older configuration, or refuse all keys, after the log was restored from a
// copy that lacks their last record.
TEST(ANodeProvesItsConfiguration, byALogThatWasRestored)
{
    ProvingFleet fleet(1h);
    fleet.log.generation = 1;
    fleet.add("a");
    fleet.log.push("config", putRecord("op-2", ResourceType::Priority, "q", LevelThree));
    const auto has = [&](const char *name) {
        return fleet.service("a").catalogue()->findPriority(config::PriorityId(name)) != nullptr;
    };
    fleet.until([&] { return has("q"); });
    section("without the lost record, the node keeps it and proves its configuration", [&] {
        fleet.log.restore("config", 2);
        const core::TimePoint restored = now();
        fleet.until([&] { return fleet.provenAt("a") > restored; });
        CHECK_TRUE(has("q"));
        CHECK_TRUE(fleet.service("a").isLogBehind());
        LONGS_EQUAL(2, fleet.service("a").logGeneration());
    });
    section("after the lost record was written again, later ones apply", [&] {
        fleet.log.push("config", putRecord("op-2", ResourceType::Priority, "q", LevelThree));
        fleet.log.push("config", putRecord("op-3", ResourceType::Priority, "r", LevelThree));
        fleet.until([&] { return has("r"); });
        CHECK_TRUE(has("q"));
        fleet.until([&] { return !fleet.service("a").isLogBehind(); });
    });
    section("a log that becomes shorter without a restore proves nothing", [&] {
        fleet.log.clear("config");
        fleet.until([&] { return fleet.service("a").isLogBehind(); });
        const core::TimePoint proven = fleet.provenAt("a");
        fleet.until([&, until = now() + 50ms] { return now() > until; });
        CHECK_TRUE(fleet.provenAt("a") == proven);
        CHECK_TRUE(has("r"));
    });
}

// Guards against a node that takes pages before the end of the log, which it has from a peer already, for a log that
// was restored or lost its records.
TEST(ANodeProvesItsConfiguration, whileItReadsPagesThatItHasAlready)
{
    for (const std::uint64_t generation : {0, 1}) {
        section("generation " + std::to_string(generation), [&] {
            ProvingFleet fleet(1h);
            fleet.log.generation = generation;
            auto &node = fleet.add("a");
            fleet.until([&] { return fleet.provenAt("a") > core::TimePoint(); });
            node.reports.clear();
            fleet.log.emptyPagesBeforeEnd = 3;
            fleet.until([&] { return fleet.log.emptyPagesBeforeEnd == 0; });
            const core::TimePoint read = now();
            fleet.until([&] { return fleet.provenAt("a") > read; });
            CHECK_TRUE(node.reports.empty());
        });
    }
}
