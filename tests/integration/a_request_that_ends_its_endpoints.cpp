#include "integration/harness/fleet.h"
#include "support/section.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;

namespace {

constexpr const char *Key = "key-tenant";
constexpr int Rounds = 3;

test::FleetConfig threeEndpointsThatExit()
{
    const test::EndpointConfig visits{.service = "visits", .slots = 8, .extraOptions = {"--crash-exits"}};
    return test::FleetConfig({.dataCentres = {"dc-a"}, .endpoints = {visits, visits, visits}});
}

void declare(test::Fleet &fleet)
{
    fleet.addWorkspace("tenant", 2000, 500);
    fleet.addRoute("visits", {{"prefix", "/visits"}, {"service", "visits"}, {"retries", 2}}, 3);
    fleet.waitUntilServing({"/visits/calm"}, Key);
}

/** @brief Sends the request that ends each endpoint that runs it to every node. @return Whether a node refused it. */
bool sendToEachNode(test::Fleet &fleet)
{
    bool isRefused = false;
    for (const std::size_t index : fleet.running()) {
        const test::CallResult result = fleet.call(index, test::Call({.target = "/visits/x?crash=1", .key = Key}));
        isRefused = isRefused || result->reason == "quarantined";
    }
    return isRefused;
}

std::vector<std::size_t> endedEndpoints(test::Fleet &fleet)
{
    std::vector<std::size_t> ended;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (fleet.node(index).endpoint->poll()) {
            ended.push_back(index);
        }
    }
    return ended;
}

void restartEndedEndpoints(test::Fleet &fleet)
{
    for (const std::size_t index : endedEndpoints(fleet)) {
        fleet.startEndpoint(index);
    }
    fleet.waitUntilServing({"/visits/calm"}, Key);
}

void endEndpointsUntilRefused(test::Fleet &fleet)
{
    CHECK_TEXT(test::waitUntil([&] { return sendToEachNode(fleet); }), "the request was never quarantined");
    CHECK_TEXT(!endedEndpoints(fleet).empty(), "the request has ended no endpoint");
}

/** @brief Checks that no endpoint receives the request, however often it is sent. */
void checkRefusedEverywhere(test::Fleet &fleet)
{
    for (int round = 0; round < Rounds; ++round) {
        sendToEachNode(fleet);
    }
    LONGS_EQUAL(0, endedEndpoints(fleet).size());
}

/** @brief Kills nodes at the same time and starts them and their endpoints again. */
void restartDaemons(test::Fleet &fleet, const std::vector<std::size_t> &indices)
{
    for (const std::size_t index : indices) {
        fleet.node(index).daemon->kill();
    }
    for (const std::size_t index : indices) {
        fleet.node(index).daemon->wait();
        fleet.restartDaemon(index);
    }
    fleet.waitUntilServing({"/visits/calm"}, Key);
}

}

TEST_GROUP(ARequestThatEndsItsEndpoints){};

// Guards against a quarantine that is forgotten when the endpoint of the host starts again.
TEST(ARequestThatEndsItsEndpoints, isRefusedAfterTheyHaveStartedAgain)
{
    test::Fleet fleet(threeEndpointsThatExit());
    declare(fleet);
    section("it ends endpoints until it is quarantined", [&] { endEndpointsUntilRefused(fleet); });
    section("the endpoints start again and serve", [&] { restartEndedEndpoints(fleet); });
    section("none of them receives it again", [&] { checkRefusedEverywhere(fleet); });
}

// Guards against a node that has forgotten a quarantine after its own restart, while its peers know it.
TEST(ARequestThatEndsItsEndpoints, isRefusedByANodeThatHasRestarted)
{
    test::Fleet fleet(threeEndpointsThatExit());
    declare(fleet);
    endEndpointsUntilRefused(fleet);
    restartEndedEndpoints(fleet);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        section("node " + std::to_string(index) + " starts again", [&] { restartDaemons(fleet, {index}); });
        section("no endpoint receives the request", [&] { checkRefusedEverywhere(fleet); });
    }
}

// Guards against a quarantine that is lost when all nodes restart at the same time.
TEST(ARequestThatEndsItsEndpoints, isRefusedAfterAllNodesHaveRestarted)
{
    test::Fleet fleet(threeEndpointsThatExit());
    declare(fleet);
    endEndpointsUntilRefused(fleet);
    section("all nodes are killed and start again", [&] { restartDaemons(fleet, {0, 1, 2}); });
    section("no endpoint receives the request", [&] { checkRefusedEverywhere(fleet); });
}
