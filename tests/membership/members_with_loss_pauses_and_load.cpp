#include "berylspring/membership/timing.h"
#include "membership/simulated_network.h"
#include "support/section.h"

#include <algorithm>
#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;
using test::SimulatedNetwork;

namespace {

const std::vector<std::string> threeDataCentres{"a", "b", "c"};
constexpr int HostCount = 30;

std::unique_ptr<SimulatedNetwork> runningNetwork(std::uint64_t seed)
{
    auto network = std::make_unique<SimulatedNetwork>(seed);
    network->startMany(HostCount, threeDataCentres);
    network->run(6s);
    STRCMP_EQUAL("", network->differences().c_str());
    return network;
}

}

TEST_GROUP(MembersWithLossPausesAndLoad){};

TEST(MembersWithLossPausesAndLoad, areNotEjectedByALossOfOneInTen)
{
    // Guards against false deaths when refutations are lost as well.
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        section("seed " + std::to_string(seed), [&] {
            auto network = runningNetwork(seed);
            network->setLoss(10);
            network->run(120s);
            LONGS_EQUAL(0, network->deaths().size());
            network->setLoss(0);
            network->run(10s);
            STRCMP_EQUAL("", network->differences().c_str());
        });
    }
}

TEST(MembersWithLossPausesAndLoad, resumeAfterAPauseAndRefute)
{
    auto network = runningNetwork(1);
    section("a paused member is declared dead, but only that one", [&] {
        network->pause("h4");
        network->run(5s);
        CHECK_FALSE(network->view("h0").contains("h4"));
        for (const auto &death : network->deaths()) {
            STRCMP_EQUAL("h4", death.subject.value().c_str());
        }
    });
    section("after resuming it counts the pause, declares no member dead and is alive in all views", [&] {
        const auto before = network->deaths().size();
        const auto incarnation = network->protocolOf("h4").self(network->now()).incarnation();
        network->resume("h4");
        network->run(5s);
        STRCMP_EQUAL("", network->differences().c_str());
        LONGS_EQUAL(before, network->deaths().size());
        LONGS_EQUAL(1, network->protocolOf("h4").resumeCount());
        CHECK(network->protocolOf("h4").self(network->now()).incarnation() > incarnation);
    });
    section("it rejoins after a pause that is longer than the retention", [&] {
        network->pause("h4");
        network->run(membership::DeadRetention + 30s);
        CHECK_FALSE(network->protocolOf("h0").find(core::HostId("h4"), network->now()).has_value());
        network->resume("h4");
        network->run(10s);
        STRCMP_EQUAL("", network->differences().c_str());
    });
}

TEST(MembersWithLossPausesAndLoad, neitherEjectNorAreEjectedWhileTheyAreBusy)
{
    // Guards against false suspicions by a process that is scheduled late: its timeouts expire before it reads the
    // acks.
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        section("seed " + std::to_string(seed), [&] {
            auto network = runningNetwork(seed);
            for (const char *busy : {"h1", "h2", "h3", "h4", "h5"}) {
                network->setMaxStall(busy, 800ms);
            }
            network->run(60s);
            LONGS_EQUAL(0, network->deaths().size());
            LONGS_EQUAL(0, network->protocolOf("h1").resumeCount());
        });
    }
}

TEST(MembersWithLossPausesAndLoad, areAllKeptWhenTheWholeMachineIsBusy)
{
    // Guards against false deaths when many nodes share one loaded machine, as in tests and demonstrations.
    auto network = runningNetwork(7);
    for (int i = 0; i < HostCount; ++i) {
        network->setMaxStall("h" + std::to_string(i), 500ms);
    }
    network->run(60s);
    LONGS_EQUAL(0, network->deaths().size());
}
