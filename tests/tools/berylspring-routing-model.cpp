// Compares ways to weight load reports in the deterministic cluster model, and measures the cost of a routing decision.
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

void measureCost()
{
    constexpr int Endpoints = 80;
    constexpr int Decisions = 100'000;
    routing::Router router(routing::RouterHooks{core::systemRandom()});
    const core::ServiceId service("visits");
    const core::TimePoint now = std::chrono::steady_clock::now();
    std::vector<routing::EndpointView> views;
    for (int i = 0; i < Endpoints; ++i) {
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
    std::cout << "choose() among " << Endpoints
              << " endpoints: " << std::chrono::duration<double, std::micro>(elapsed).count() / Decisions << " us ("
              << chosen << " decisions)\n";
}

}

int main()
{
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
    measureCost();
    return 0;
}
