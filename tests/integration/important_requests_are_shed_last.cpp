#include "integration/harness/fleet.h"
#include "integration/harness/paced_load.h"
#include "integration/harness/scores.h"
#include "support/section.h"

#include <algorithm>
#include <iostream>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

constexpr std::size_t Nodes = 2;
constexpr std::size_t Slots = 4;
constexpr double ServiceMs = 40;
constexpr double Capacity = Nodes * Slots * 1000 / ServiceMs; ///< Calls per second.

constexpr auto CapacityBegin = 4s; ///< Start of the phase whose offered load equals the capacity.
constexpr auto OverloadBegin = 8s;
constexpr auto OverloadEnd = 13s;
constexpr auto LoadEnd = 18s;
constexpr auto WarmUp = 1s; ///< Excluded from the goodput of the first phase.

constexpr double GoodputTarget = 0.95; ///< Fraction of the best goodput without overload.
constexpr auto RecoveryTarget = 2s;

test::LoadClass
loadClassOf(test::Fleet &fleet, const std::string &path, double share, core::Duration begin, core::Duration end)
{
    return {.name = path,
            .ratePerSecond = Capacity * share,
            .begin = begin,
            .duration = end - begin,
            .makeCall = [path](std::uint64_t) { return test::Call({.target = path, .key = "key-tenant"}); },
            .chooseClient = [&fleet](std::uint64_t number) -> http::Client & {
                return fleet.calls().client(fleet.node(number % fleet.size()).callerPort);
            }};
}

double goodput(const std::vector<test::LoadReport> &reports, core::Duration begin, core::Duration end)
{
    double sum = 0;
    for (const test::LoadReport &report : reports) {
        sum += report.goodput(begin, end);
    }
    return sum;
}

/** @return The recovery time as in the benchmark, or nothing if the goodput does not recover. */
std::optional<core::Duration> recovery(const std::vector<test::LoadReport> &reports, double baseline)
{
    std::vector<test::ScoredClass> scored;
    for (const test::LoadReport &report : reports) {
        scored.push_back({.tenant = "tenant", .kind = report.name(), .report = report});
    }
    return test::recoveryTime(scored, OverloadEnd, LoadEnd, GoodputTarget * baseline);
}

void print(const std::string &title, const test::LoadReport &report)
{
    std::cout << title << ": " << report.complete() << " of " << report.samples().size() << " answered, latency p99 "
              << std::chrono::duration<double, std::milli>(report.latency(0.99)).count() << " ms\n";
    for (const auto &[reason, count] : report.failures()) {
        std::cout << "    " << reason << ": " << count << "\n";
    }
}

}

TEST_GROUP(ImportantRequestsAreShedLast){};

// Guards against shedding that ignores priorities, runs requests without answering them, or outlasts the overload.
TEST(ImportantRequestsAreShedLast, whileOneServiceIsOfferedThreeTimesItsCapacity)
{
    section("a service with few slots and two priorities", [] {
        const test::EndpointConfig endpoint{.service = "shop", .slots = Slots, .serviceMs = ServiceMs, .jitter = 0.5};
        test::Fleet fleet(test::FleetConfig(
            {.dataCentres = {"dc-a"}, .endpoints = std::vector<test::EndpointConfig>(Nodes, endpoint)}));
        fleet.addWorkspace("tenant", 100 * Capacity, 100 * Capacity);
        fleet.addRoute("pay", {{"prefix", "/pay"}, {"service", "shop"}}, 6, 10);
        fleet.addRoute("browse", {{"prefix", "/browse"}, {"service", "shop"}}, 1);
        fleet.waitUntilServing({"/pay", "/browse"}, "key-tenant");
        const auto runsBefore = fleet.totals("runs");
        const auto reports = test::runLoad(fleet.calls(),
                                           {loadClassOf(fleet, "/pay", 0.45, 0s, CapacityBegin),
                                            loadClassOf(fleet, "/browse", 0.45, 0s, CapacityBegin),
                                            loadClassOf(fleet, "/pay", 0.5, OverloadBegin, OverloadEnd),
                                            loadClassOf(fleet, "/browse", 2.5, OverloadBegin, OverloadEnd),
                                            loadClassOf(fleet, "/pay", 0.45, OverloadEnd, LoadEnd),
                                            loadClassOf(fleet, "/browse", 0.45, OverloadEnd, LoadEnd),
                                            loadClassOf(fleet, "/pay", 0.5, CapacityBegin, OverloadBegin),
                                            loadClassOf(fleet, "/browse", 0.5, CapacityBegin, OverloadBegin)});
        const double baseline = goodput(reports, WarmUp, CapacityBegin);
        const double best = std::max(baseline, goodput(reports, CapacityBegin, OverloadBegin));
        const double during = goodput(reports, OverloadBegin, OverloadEnd);
        const std::optional<core::Duration> recovered = recovery(reports, baseline);
        std::cout << "\ncapacity " << Capacity << " per s, goodput at 0.9 of it " << baseline
                  << ", best without overload " << best << ", at 3 times " << during << " (" << during / best
                  << "), recovery " << std::chrono::duration<double>(recovered.value_or(LoadEnd - OverloadEnd)).count()
                  << " s\n";
        print("pay before", reports[0]);
        print("browse before", reports[1]);
        print("pay in overload", reports[2]);
        print("browse in overload", reports[3]);
        print("pay after", reports[4]);
        print("browse after", reports[5]);
        print("pay at capacity", reports[6]);
        print("browse at capacity", reports[7]);
        const test::LoadReport &important = reports[2];
        const test::LoadReport &lessImportant = reports[3];
        section("important calls are answered during the overload",
                [&] { LONGS_EQUAL(important.samples().size(), important.complete()); });
        section("less important calls are refused, and each refusal is not-run", [&] {
            CHECK(lessImportant.count(core::Outcome::NotRun) > 0);
            LONGS_EQUAL(0, lessImportant.count(core::Outcome::Unknown));
            LONGS_EQUAL(lessImportant.samples().size(),
                        lessImportant.complete() + lessImportant.count(core::Outcome::NotRun));
        });
        section("no refused call has run", [&] {
            const auto runs = fleet.totals("runs");
            for (const std::string path : {"/pay", "/browse"}) {
                std::uint64_t answered = 0;
                for (const test::LoadReport &report : reports) {
                    answered += report.name() == path ? report.complete() : 0;
                }
                LONGS_EQUAL(answered, runs.at(path) - runsBefore.at(path));
            }
        });
        section("every answer matches its call", [&] {
            for (const test::LoadReport &report : reports) {
                LONGS_EQUAL(0, report.mismatches());
                LONGS_EQUAL(0, report.notSent());
            }
        });
        section("goodput is maintained during the overload", [&] { CHECK(during >= GoodputTarget * best); });
        section("goodput recovers after the overload", [&] {
            CHECK(recovered.has_value());
            CHECK(*recovered < RecoveryTarget);
        });
    });
}
