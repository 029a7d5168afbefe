#include "membership/simulated_network.h"
#include "support/section.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;
using test::SimulatedNetwork;

namespace {

const std::vector<std::string> threeDataCentres{"a", "b", "c"};

bool isInDataCentreA(const std::string &host)
{
    return std::stoi(host.substr(1)) % 3 == 0;
}

}

TEST_GROUP(APartitionThatHeals)
{
    SimulatedNetwork network{1};

    void setup() override
    {
        network.startMany(15, threeDataCentres);
        network.run(6s);
    }
    void partitionDataCentreA()
    {
        network.partition(
            [](const auto &from, const auto &to) { return isInDataCentreA(from) != isInDataCentreA(to); });
    }
};

TEST(APartitionThatHeals, afterAnHourBringsBackMembersThatWereRemoved)
{
    // Guards against a permanent split: after DeadRetention no side has records of the other in its table.
    section("each side keeps its own members and removes the others", [&] {
        partitionDataCentreA();
        network.run(1h);
        LONGS_EQUAL(5, network.view("h0").size());
        LONGS_EQUAL(10, network.view("h1").size());
        LONGS_EQUAL(10, network.protocolOf("h1").snapshot(network.now())->members().size());
        for (const auto &death : network.deaths()) {
            CHECK(isInDataCentreA(death.observer.value()) != isInDataCentreA(death.subject.value()));
        }
    });
    section("all views are complete within 10 s after the end, without another death", [&] {
        const auto before = network.deaths().size();
        network.heal();
        network.run(10s);
        STRCMP_EQUAL("", network.differences().c_str());
        LONGS_EQUAL(before, network.deaths().size());
    });
}

TEST(APartitionThatHeals, beforeTheRetentionEndsOverturnsTheDeathsOfBothSides)
{
    // Guards against deaths that stay after the partition: each side records the members of the other as dead in their
    // current incarnation.
    partitionDataCentreA();
    network.run(20s);
    LONGS_EQUAL(10, network.view("h1").size());
    const auto before = network.deaths().size();
    network.heal();
    network.run(10s);
    STRCMP_EQUAL("", network.differences().c_str());
    LONGS_EQUAL(before, network.deaths().size());
}

TEST(APartitionThatHeals, doesNotSeparateDataCentresThatAThirdOneConnects)
{
    // Guards against declaring members dead that only some others cannot reach.
    network.partition([](const std::string &from, const std::string &to) {
        const int difference = (std::stoi(from.substr(1)) - std::stoi(to.substr(1))) % 3;
        return difference != 0 && std::stoi(from.substr(1)) % 3 != 2 && std::stoi(to.substr(1)) % 3 != 2;
    });
    network.run(120s);
    LONGS_EQUAL(0, network.deaths().size());
}

TEST(APartitionThatHeals, ofOneMemberInOneDirectionEndsWithAllViewsEqual)
{
    network.partition([](const std::string &from, const std::string &) { return from == "h5"; });
    network.run(90s);
    CHECK_FALSE(network.view("h0").contains("h5"));
    network.heal();
    network.run(15s);
    STRCMP_EQUAL("", network.differences().c_str());
}
