#include "integration/harness/fleet.h"
#include "support/section.h"

#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <thread>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

constexpr auto DetectionTarget = 5s; ///< Longest time until no node uses a dead member.
constexpr std::size_t NodesPerDataCentre = 4;
constexpr auto FaultFreeTime = 5s; ///< Observation time without a new fault.
constexpr auto SampleInterval = 50ms;

/** @return The state of each host in the member list of one node. */
std::map<std::string, std::string> statesAt(test::Fleet &fleet, std::size_t node)
{
    const auto answer = fleet.operators().send(fleet.node(node).operatorPort, "GET", "/v1/nodes");
    if (!answer || (*answer)->status != 200) {
        throw std::runtime_error("no list of nodes from " + fleet.node(node).host);
    }
    std::map<std::string, std::string> states;
    const auto body = boost::json::parse((*answer)->body);
    for (const auto &item : body.at("items").as_array()) {
        states[std::string(item.at("host").as_string())] = std::string(item.at("state").as_string());
    }
    return states;
}

bool isInUse(const std::map<std::string, std::string> &states, const std::string &host)
{
    const auto entry = states.find(host);
    return entry != states.end() && (entry->second == "alive" || entry->second == "suspect");
}

/** @return "A lists B as STATE" for each live host that a live node does not list as alive or suspect. */
std::set<std::string> falseDeaths(test::Fleet &fleet, const std::vector<std::size_t> &live)
{
    std::set<std::string> falseDeathsSeen;
    for (const std::size_t node : live) {
        const auto states = statesAt(fleet, node);
        for (const std::size_t other : live) {
            const std::string &host = fleet.node(other).host;
            if (!isInUse(states, host)) {
                const auto entry = states.find(host);
                falseDeathsSeen.insert(fleet.node(node).host + " lists " + host + " as "
                                       + (entry == states.end() ? "gone" : entry->second));
            }
        }
    }
    return falseDeathsSeen;
}

/** @return Whether no live node lists any of the hosts as alive or suspect. */
bool areDetected(test::Fleet &fleet, const std::vector<std::size_t> &live, const std::set<std::string> &hosts)
{
    for (const std::size_t node : live) {
        const auto states = statesAt(fleet, node);
        for (const std::string &host : hosts) {
            if (isInUse(states, host)) {
                return false;
            }
        }
    }
    return true;
}

void sampleWithoutFaults(const std::function<void()> &check)
{
    const auto end = std::chrono::steady_clock::now() + FaultFreeTime;
    while (std::chrono::steady_clock::now() < end) {
        check();
        std::this_thread::sleep_for(SampleInterval);
    }
}

std::string joined(const std::set<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

}

TEST_GROUP(MembersThatDieAreNoticed){};

// Guards against a dead member that stays in use, and against a live one declared dead because the machine is busy.
TEST(MembersThatDieAreNoticed, andNoOthers)
{
    section("twelve nodes in three data centres started at once", [] {
        test::Fleet fleet(test::FleetConfig({.dataCentres = {"dc-a", "dc-b", "dc-c"},
                                             .endpoints = std::vector<test::EndpointConfig>(NodesPerDataCentre)}));
        section("find each other",
                [&] { CHECK(test::waitUntil([&] { return falseDeaths(fleet, fleet.running()).empty(); })); });
        section("and list no live node as dead while nothing fails", [&] {
            sampleWithoutFaults([&] { STRCMP_EQUAL("", joined(falseDeaths(fleet, fleet.running())).c_str()); });
        });
        section("a third of them is killed, including a seed", [&] {
            std::set<std::string> killed;
            const auto killedAt = std::chrono::steady_clock::now();
            for (const std::size_t node : {1U, 4U, 7U, 10U}) {
                fleet.node(node).daemon->kill();
                killed.insert(fleet.node(node).host);
            }
            for (const std::size_t node : {1U, 4U, 7U, 10U}) {
                fleet.node(node).daemon->wait();
            }
            const std::vector<std::size_t> live = fleet.running();
            LONGS_EQUAL(8, live.size());
            section("the others list exactly the killed ones as dead or gone within the target", [&] {
                std::set<std::string> falseDeathsSeen;
                core::Duration lastListed{};
                const bool isDetected = test::waitUntil([&] {
                    const auto sampledAt = std::chrono::steady_clock::now();
                    falseDeathsSeen.merge(falseDeaths(fleet, live));
                    const bool isDone = areDetected(fleet, live, killed);
                    // Uses the start of the sample, since taking one can itself take long on a busy machine.
                    lastListed = isDone ? lastListed : sampledAt - killedAt;
                    return isDone;
                });
                CHECK(isDetected);
                std::cout << "\nkilled nodes were last listed " << std::chrono::duration<double>(lastListed).count()
                          << " s after the first kill\n";
                STRCMP_EQUAL("", joined(falseDeathsSeen).c_str());
                CHECK(lastListed < DetectionTarget);
            });
            section("and no live node is listed as dead afterwards", [&] {
                sampleWithoutFaults([&] {
                    STRCMP_EQUAL("", joined(falseDeaths(fleet, live)).c_str());
                    CHECK(areDetected(fleet, live, killed));
                });
            });
        });
    });
}
