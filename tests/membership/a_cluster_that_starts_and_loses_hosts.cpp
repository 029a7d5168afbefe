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

void checkConverged(SimulatedNetwork &network)
{
    STRCMP_EQUAL("", network.differences().c_str());
}

}

TEST_GROUP(AClusterThatStartsAndLosesHosts){};

TEST(AClusterThatStartsAndLosesHosts, declaresExactlyAKilledThirdDeadInTime)
{
    // Guards against slow or false detection when many hosts fail at once. The loss of any third also removes a third
    // of the indirect probers; that of a data centre removes all members that probe its hosts often.
    const auto anyThird = [](int i) { return i % 10 < 3 || i == 29; };
    const auto wholeDataCentre = [](int i) { return i % 3 == 0; };
    const std::vector<std::pair<std::string, std::function<bool(int)>>> choices{{"hosts of all data centres", anyThird},
                                                                                {"all hosts of one", wholeDataCentre}};
    for (const auto &[title, isKilled] : choices) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            section(title + ", seed " + std::to_string(seed), [&, &isKilled = isKilled] {
                SimulatedNetwork network(seed);
                network.startMany(30, threeDataCentres);
                network.run(5s);
                checkConverged(network);
                LONGS_EQUAL(0, network.deaths().size());

                for (int i = 0; i < 30; ++i) {
                    if (isKilled(i)) {
                        network.kill("h" + std::to_string(i));
                    }
                }
                network.run(5s);
                LONGS_EQUAL(20, network.runningHosts().size());
                checkConverged(network);
                for (const auto &death : network.deaths()) {
                    CHECK_FALSE(network.runningHosts().contains(death.subject.value()));
                }
                LONGS_EQUAL(0, network.oversizedCount());
            });
        }
    }
}
