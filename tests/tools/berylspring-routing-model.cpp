// Compares ways to weight load reports and to route by cost in the deterministic cluster model, and measures the time
// of a routing decision. Arguments: "policies" or "decision" for that part only.
#include "../routing/cluster_model.h"

#include <array>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

using namespace berylspring;

namespace {

struct Variant
{
    std::string name;
    core::Duration halfLife{};
};

void compare(const std::string &title, const test::ClusterSettings &base)
{
    const std::array<Variant, 3> variants{Variant{"own in flight only", core::Duration::zero()},
                                          Variant{"discounted report", std::chrono::milliseconds(250)},
                                          Variant{"report at face value", std::chrono::hours(1000)}};
    constexpr std::uint64_t Seeds = 3;
    std::cout << title << '\n';
    for (const Variant &variant : variants) {
        double p50 = 0;
        double p99 = 0;
        double first = 0;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            auto settings = base;
            settings.seed = seed;
            settings.router.reportHalfLife = variant.halfLife;
            test::ClusterModel model(settings);
            model.run();
            p50 += model.latencyQuantile(0.5) / Seeds;
            p99 += model.latencyQuantile(0.99) / Seeds;
            first += model.shareOfFirst() / Seeds;
        }
        std::cout << std::fixed << std::setprecision(1) << "  " << std::setw(21) << std::left << variant.name
                  << std::right << " p50 " << std::setw(6) << p50 * 1e3 << " ms  p99 " << std::setw(7) << p99 * 1e3
                  << " ms  share of first " << std::setprecision(3) << first << '\n';
    }
}

struct PolicyVariant
{
    std::string name;
    routing::RoutingPolicy policy = routing::RoutingPolicy::Load;
    std::uint32_t compared = 0;
    double jitter = 0;
};

void comparePolicies(const std::string &title, const test::ClusterSettings &base)
{
    constexpr std::uint32_t All = 1000;
    const std::array<PolicyVariant, 6> variants{
        PolicyVariant{"load"},
        PolicyVariant{"best of two", routing::RoutingPolicy::Cost, 2},
        PolicyVariant{"best of three", routing::RoutingPolicy::Cost, 3},
        PolicyVariant{"best of four", routing::RoutingPolicy::Cost, 4},
        PolicyVariant{"best of all", routing::RoutingPolicy::Cost, All},
        PolicyVariant{"all, jitter 0.2", routing::RoutingPolicy::Cost, All, 0.2}};
    constexpr std::uint64_t Seeds = 3;
    std::cout << title << '\n';
    for (const PolicyVariant &variant : variants) {
        double mean = 0;
        double p99 = 0;
        double busiest = 0;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            auto settings = base;
            settings.seed = seed;
            settings.router.policy = variant.policy;
            settings.router.comparedByCost = variant.compared;
            settings.router.jitter = variant.jitter;
            test::ClusterModel model(settings);
            model.run();
            mean += model.meanLatency() / Seeds;
            p99 += model.latencyQuantile(0.99) / Seeds;
            busiest += model.busiestToMean() / Seeds;
        }
        std::cout << std::fixed << std::setprecision(1) << "  " << std::setw(16) << std::left << variant.name
                  << std::right << " mean " << std::setw(6) << mean * 1e3 << " ms  p99 " << std::setw(7) << p99 * 1e3
                  << " ms  busiest " << std::setprecision(2) << busiest << '\n';
    }
}

/** Endpoints of three speeds with a light and a heavy route, rare long requests and a pace that swings. */
test::ClusterSettings unequal()
{
    test::ClusterSettings settings;
    settings.slots = 15;
    settings.serviceTime = 0.03;
    settings.load = 0.65; // Of the capacity at the usual pace; the mean pace is 1.2.
    settings.speeds = {0.6, 1.0, 1.4};
    settings.heavyShare = 0.1;
    settings.rareShare = 0.02;
    settings.paceInterval = 0.3;
    settings.isPaceReported = true;
    settings.length = 20;
    return settings;
}

void comparePolicies()
{
    for (const int endpoints : {1, 7, 43}) {
        for (const int entries : {3, 96}) {
            for (const int age : {0, 100, 500}) {
                auto settings = unequal();
                settings.endpoints = endpoints;
                settings.entries = entries;
                settings.reportInterval = age == 0 ? 0.001 : age / 1e3;
                comparePolicies(std::to_string(endpoints) + " endpoints, " + std::to_string(entries)
                                    + " entries, view up to " + std::to_string(age) + " ms old",
                                settings);
            }
        }
    }
    auto settings = unequal();
    settings.endpoints = 7;
    for (const int entries : {3, 96}) {
        settings.entries = entries;
        const std::string title = "7 endpoints, " + std::to_string(entries) + " entries, view up to 200 ms old, ";
        settings.isPaceFalse = true;
        comparePolicies(title + "false pace", settings);
        settings.isPaceFalse = false;
        settings.isPaceReported = false;
        comparePolicies(title + "no pace", settings);
        settings.isPaceReported = true;
        settings.isFirstIdleInAll = true;
        comparePolicies(title + "the slowest one reports idle in all", settings);
        settings.isFirstIdleInAll = false;
        settings.isFirstSlow = true;
        comparePolicies(title + "the slowest one 10x slower", settings);
        settings.isFirstSlow = false;
    }
}

void measureCost(routing::RoutingPolicy policy, int endpoints)
{
    constexpr int Decisions = 100'000;
    routing::Router router(routing::RouterHooks{core::systemRandom()}, {.policy = policy});
    const core::ServiceId service("visits");
    const core::TimePoint now = std::chrono::steady_clock::now();
    std::vector<routing::EndpointView> views;
    for (int i = 0; i < endpoints; ++i) {
        routing::EndpointViewFields fields;
        fields.host = core::HostId("endpoint-host-with-a-long-name-" + std::to_string(i));
        fields.service = service;
        fields.slots = 40;
        fields.reportedLoad = 20;
        fields.reportedAt = now;
        views.emplace_back(fields);
        router.started(service, fields.host, now);
    }
    const routing::RoutingRequest request{service, {}, 0, {}};
    std::size_t chosen = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < Decisions; ++i) {
        chosen += router.choose(request, views, now).host ? 1 : 0;
    }
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    std::cout << "choose() by " << (policy == routing::RoutingPolicy::Cost ? "cost" : "load") << " among " << endpoints
              << " endpoints: " << std::chrono::duration<double, std::micro>(elapsed).count() / Decisions << " us ("
              << chosen << " decisions)\n";
}

void measureCosts()
{
    for (const int endpoints : {7, 80, 1000}) {
        measureCost(routing::RoutingPolicy::Load, endpoints);
        measureCost(routing::RoutingPolicy::Cost, endpoints);
    }
}

}

int main(int argc, char **argv)
{
    const std::string part = argc > 1 ? argv[1] : "";
    if (part == "decision") {
        measureCosts();
        return 0;
    }
    if (part == "policies") {
        comparePolicies();
        return 0;
    }
    test::ClusterSettings settings;
    compare("6 entries, 6 endpoints, load 0.9", settings);
    settings.entries = 60;
    compare("60 entries, 6 endpoints, load 0.9", settings);
    settings.load = 0.7;
    settings.isFirstSlow = true;
    for (const int entries : {6, 60}) {
        settings.entries = entries;
        const std::string title = std::to_string(entries) + " entries, 6 endpoints, load 0.7, the first 10x slow";
        settings.isFirstStuckAtIdle = false;
        compare(title + ", true reports", settings);
        settings.isFirstStuckAtIdle = true;
        compare(title + ", its report stuck at idle", settings);
    }
    comparePolicies();
    measureCosts();
    return 0;
}
