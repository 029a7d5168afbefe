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

wire::EndpointState endpointOf(bool isDraining, std::uint32_t load)
{
    wire::EndpointStateFields fields;
    fields.service = core::ServiceId("bookings");
    fields.slots = 10;
    fields.isDraining = isDraining;
    fields.load = load;
    return wire::EndpointState(fields);
}

int countDrainingViews(SimulatedNetwork &network)
{
    int count = 0;
    for (const auto &host : network.runningHosts()) {
        const auto providers = network.protocolOf(host).snapshot(network.now())->providers(core::ServiceId("bookings"));
        count +=
            static_cast<int>(std::count_if(providers.begin(), providers.end(), [](const membership::Member &member) {
                return (*member.endpoint())->isDraining;
            }));
    }
    return count;
}

}

TEST_GROUP(AnUpdateThatReachesAllMembers)
{
    SimulatedNetwork network{3};

    void setup() override
    {
        network.startMany(HostCount, threeDataCentres);
        network.run(6s);
    }
    void setEndpoint(const std::string &host, const wire::EndpointState &endpoint)
    {
        network.perform(host, network.protocolOf(host).setEndpoint(endpoint, network.now()));
    }
};

TEST(AnUpdateThatReachesAllMembers, ofADrainComesInOnePush)
{
    setEndpoint("h7", endpointOf(false, 0));
    network.run(1s);
    section("a change of load alone is not pushed", [&] {
        const auto actions = network.protocolOf("h7").setEndpoint(endpointOf(false, 5), network.now());
        CHECK(actions.datagrams.empty());
    });
    section("a drain arrives everywhere within one network delay", [&] {
        setEndpoint("h7", endpointOf(true, 5));
        network.run(10ms);
        LONGS_EQUAL(HostCount, countDrainingViews(network));
    });
    section("members that miss the push learn of the drain by gossip within 2 s", [&] {
        setEndpoint("h7", endpointOf(false, 5));
        network.run(1s);
        LONGS_EQUAL(0, countDrainingViews(network));
        network.setLoss(50);
        setEndpoint("h7", endpointOf(true, 5));
        network.run(10ms);
        CHECK(countDrainingViews(network) < HostCount);
        network.setLoss(0);
        network.run(2s);
        LONGS_EQUAL(HostCount, countDrainingViews(network));
    });
}

// Guards against entries that send a cold endpoint their full load until the next gossip reaches them.
TEST(AnUpdateThatReachesAllMembers, ofAColdEndpointComesInOnePush)
{
    setEndpoint("h7", endpointOf(false, 0));
    network.run(1s);
    setEndpoint("h7", endpointOf(false, 0).with(&wire::EndpointStateFields::coldRate, 16.0));
    network.run(10ms);
    for (const auto &host : network.runningHosts()) {
        const auto providers = network.protocolOf(host).snapshot(network.now())->providers(core::ServiceId("bookings"));
        LONGS_EQUAL(1, providers.size());
        DOUBLES_EQUAL(16, (*providers.front().endpoint())->coldRate, 0);
    }
}

TEST(AnUpdateThatReachesAllMembers, ofAGracefulLeaveIsNoDeath)
{
    network.perform("h7", network.protocolOf("h7").leave(network.now()));
    network.kill("h7");
    network.run(1s);
    STRCMP_EQUAL("", network.differences().c_str());
    LONGS_EQUAL(0, network.deaths().size());
    const auto recent = network.protocolOf("h1").snapshot(network.now())->recentHosts(core::DataCentreId("b"));
    LONGS_EQUAL(9, recent.size());
}

TEST(AnUpdateThatReachesAllMembers, ofADeathIsKeptForTheRetention)
{
    network.kill("h7");
    network.run(10s);
    const auto hosts = [&] { return network.protocolOf("h1").snapshot(network.now()); };
    LONGS_EQUAL(9, hosts()->liveHosts(core::DataCentreId("b")).size());
    LONGS_EQUAL(10, hosts()->recentHosts(core::DataCentreId("b")).size());
    network.run(membership::DeadRetention);
    LONGS_EQUAL(9, hosts()->recentHosts(core::DataCentreId("b")).size());
}

TEST(AnUpdateThatReachesAllMembers, ofANewProcessOfAHostIsAcceptedWithALowerIncarnation)
{
    // Guards against a restarted host that is ignored: it keeps no state, so its incarnation and version start low.
    for (int i = 0; i < 3; ++i) {
        network.pause("h7");
        network.run(5s);
        network.resume("h7");
        network.run(3s);
    }
    const auto before = network.protocolOf("h1").find(core::HostId("h7"), network.now());
    CHECK(before->incarnation() > 1);
    section("while the earlier process is still recorded as alive", [&] {
        network.start("h7", "b", {"h0"});
        network.run(3s);
        STRCMP_EQUAL("", network.differences().c_str());
        CHECK(network.protocolOf("h7").self(network.now()).incarnation() > before->incarnation());
        CHECK_FALSE(network.protocolOf("h1").find(core::HostId("h7"), network.now())->endpoint().has_value());
    });
    section("after the earlier process was declared dead", [&] {
        network.kill("h7");
        network.run(10s);
        CHECK_FALSE(network.view("h1").contains("h7"));
        network.start("h7", "b", {"h0"});
        network.run(3s);
        STRCMP_EQUAL("", network.differences().c_str());
    });
    section("after the earlier process left", [&] {
        network.perform("h7", network.protocolOf("h7").leave(network.now()));
        network.run(1s);
        network.start("h7", "b", {"h0"});
        network.run(3s);
        STRCMP_EQUAL("", network.differences().c_str());
    });
}

TEST(AnUpdateThatReachesAllMembers, startsFromContactsOfTheLogWhenNoSeedAnswers)
{
    network.start("late", "b", {"nowhere"});
    network.run(2s);
    LONGS_EQUAL(1, network.view("late").size());
    for (const char *host : {"gone", "h3"}) {
        wire::MemberUpdateFields fields;
        fields.host = core::HostId(host);
        fields.dataCentre = core::DataCentreId("a");
        fields.address = host;
        fields.port = 7000;
        network.protocolOf("late").addContact(wire::MemberUpdate(fields), network.now());
    }
    network.run(8s);
    STRCMP_EQUAL("", network.differences().c_str());
}
