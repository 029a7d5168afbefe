#include "berylspring/core/rendezvous.h"
#include "integration/harness/admission_windows.h"
#include "integration/harness/fleet.h"
#include "integration/harness/paced_load.h"
#include "support/section.h"

#include <algorithm>
#include <exception>
#include <iostream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

constexpr double Rate = 200;
constexpr double Burst = 40;
constexpr double Overload = 4; ///< Offered rate / declared rate.
constexpr auto StartDelay = 50ms; ///< As in runLoad().
const std::string Workspace = "greedy";

/** @return Calls of a workspace, round-robin over the nodes, at the ports that they have when this function is called.
 */
test::LoadClass
loadClassOf(test::Fleet &fleet, const std::string &workspace, const std::vector<std::size_t> &nodes, double rate)
{
    std::vector<std::uint16_t> ports;
    for (const std::size_t node : nodes) {
        ports.push_back(fleet.node(node).callerPort);
    }
    return {.name = workspace,
            .ratePerSecond = rate,
            .makeCall =
                [workspace](std::uint64_t) {
                    return test::Call({.target = "/shop/x", .key = "key-" + workspace, .timeout = 10s});
                },
            .chooseClient = [&fleet, ports](std::uint64_t number) -> http::Client & {
                return fleet.calls().client(ports[number % ports.size()]);
            }};
}

/** @return The node of the first data centre that owns the bucket of the workspace. */
std::size_t ownerOf(test::Fleet &fleet, const std::string &workspace)
{
    std::vector<core::HostId> hosts;
    for (std::size_t i = 0; i < fleet.nodesPerDataCentre(); ++i) {
        hosts.emplace_back(fleet.node(i).host);
    }
    const core::HostId owner = core::rendezvousFirst(workspace, hosts);
    return static_cast<std::size_t>(std::find(hosts.begin(), hosts.end(), owner) - hosts.begin());
}

/** @brief Overloads the workspace at all nodes and checks every window. @param fault Runs concurrently with the load.
 */
void checkOverload(test::Fleet &fleet,
                   const std::string &name,
                   core::Duration duration,
                   const std::function<void(core::TimePoint)> &fault = {})
{
    test::LoadClass load = loadClassOf(fleet, Workspace, {0, 1, 2, 3}, Rate * Overload);
    load.duration = duration;
    const core::TimePoint start = std::chrono::steady_clock::now() + StartDelay;
    std::exception_ptr failure;
    std::jthread faults([&] {
        try {
            if (fault) {
                fault(start);
            }
        } catch (...) {
            failure = std::current_exception();
        }
    });
    const auto reports = test::runLoad(fleet.calls(), {load});
    faults.join();
    if (failure) {
        std::rethrow_exception(failure);
    }
    const test::WorstWindow worst = test::worstWindow(reports, Rate);
    const double seconds = std::chrono::duration<double>(duration).count();
    std::cout << "\n"
              << name << ": " << reports[0].complete() << " of " << reports[0].samples().size() << " answered in "
              << seconds << " s at rate " << Rate << "; most over rate x window: " << worst.excess << " of burst "
              << Burst << "; in the last second " << reports[0].goodput(duration - 1s, duration)
              << " per s; latency p99 " << std::chrono::duration<double, std::milli>(reports[0].latency(0.99)).count()
              << " ms\n";
    for (const auto &[reason, count] : reports[0].failures()) {
        std::cout << "    " << reason << ": " << count << "\n";
    }
    LONGS_EQUAL(0, reports[0].mismatches());
    CHECK(worst.excess <= Burst);
    // A limiter that refuses every call would also stay within the bound.
    CHECK(reports[0].complete() > static_cast<std::uint64_t>(Burst));
    CHECK(reports[0].goodput(duration - 1s, duration) > 0);
}

/** @brief Sends calls at a fraction of the rate of the workspace and checks that the limiter refuses none. */
void checkWithinRate(test::Fleet &fleet,
                     const std::string &name,
                     const std::vector<std::size_t> &nodes,
                     double fraction)
{
    test::LoadClass load = loadClassOf(fleet, "modest", nodes, Rate * fraction);
    load.duration = 5s;
    const auto reports = test::runLoad(fleet.calls(), {load});
    const auto failures = reports[0].failures();
    std::cout << "\n"
              << name << ": " << reports[0].complete() << " of " << reports[0].samples().size() << " answered\n";
    for (const auto &[reason, count] : failures) {
        std::cout << "    " << reason << ": " << count << "\n";
    }
    LONGS_EQUAL(0, reports[0].notSent());
    LONGS_EQUAL(0, failures.contains("not-run limit-exceeded") ? failures.at("not-run limit-exceeded") : 0);
}

}

TEST_GROUP(AWorkspaceStaysWithinItsShare){};

// Guards against tokens granted twice: by two owners, after the end of a lease or loan, or in two data centres.
TEST(AWorkspaceStaysWithinItsShare, overAllNodesAndThroughFaultsOfTheOwner)
{
    section("two data centres, and a workspace that is offered four times its rate at all nodes", [] {
        test::Fleet fleet(test::FleetConfig({.dataCentres = {"dc-a", "dc-b"},
                                             .endpoints = {{.service = "shop", .slots = 32, .serviceMs = 1},
                                                           {.service = "shop", .slots = 32, .serviceMs = 1}}}));
        fleet.addWorkspace(Workspace, Rate, Burst);
        fleet.addRoute("shop", {{"prefix", "/shop"}, {"service", "shop"}}, 3);
        fleet.waitUntilServing({"/shop"}, "key-" + Workspace);
        const std::size_t owner = ownerOf(fleet, Workspace);
        section("every window stays within rate x window + burst", [&] { checkOverload(fleet, "no fault", 5s); });
        for (const auto pause : {1000ms, 3000ms}) {
            section("also while the owner of the bucket is paused and resumed", [&] {
                checkOverload(fleet, "owner paused for " + std::to_string(pause.count()) + " ms", 7s, [&](auto start) {
                    std::this_thread::sleep_until(start + 1s);
                    fleet.node(owner).daemon->pause();
                    std::this_thread::sleep_until(start + 1s + pause);
                    fleet.node(owner).daemon->resume();
                });
            });
        }
        section("also while the owner is killed and started again", [&] {
            checkOverload(fleet, "owner killed and started again", 9s, [&](auto start) {
                std::this_thread::sleep_until(start + 1s);
                fleet.node(owner).daemon->kill();
                std::this_thread::sleep_until(start + 5s);
                fleet.restartDaemon(owner);
            });
        });
    });
}

// Guards against a static division of the rate, and against unused tokens held by a node or data centre.
TEST(AWorkspaceStaysWithinItsShare, andIsNotRefusedWithinIt)
{
    section("two data centres, and a workspace that stays well within its rate", [] {
        test::Fleet fleet(test::FleetConfig({.dataCentres = {"dc-a", "dc-b"},
                                             .endpoints = {{.service = "shop", .slots = 32, .serviceMs = 1},
                                                           {.service = "shop", .slots = 32, .serviceMs = 1}}}));
        // With a burst of one second of the rate, calls that a busy machine delays and delivers together still conform.
        fleet.addWorkspace("modest", Rate, Rate);
        fleet.addRoute("shop", {{"prefix", "/shop"}, {"service", "shop"}}, 3);
        fleet.waitUntilServing({"/shop"}, "key-modest");
        section("with its calls spread over all nodes", [&] {
            checkWithinRate(fleet, "60% of the rate over four nodes", {0, 1, 2, 3}, 0.6);
        });
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            section("with all calls at one node, beyond the share of its data centre",
                    [&] { checkWithinRate(fleet, "60% of the rate at node " + std::to_string(node), {node}, 0.6); });
        }
    });
}
