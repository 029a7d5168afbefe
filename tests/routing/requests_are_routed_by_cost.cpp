#include "berylspring/routing/expected_time.h"
#include "cluster_model.h"
#include "support/section.h"

#include <array>
#include <chrono>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using routing::CostClass;
using routing::EndpointView;
using routing::Router;
using routing::RoutingPolicy;
using routing::RoutingResult;
using routing::WorkReport;
using test::section;

namespace {

const core::TimePoint startTime{1000h};
const core::ServiceId visits("visits");
const core::DataCentreId north("north");
const core::DataCentreId south("south");
constexpr auto Light = static_cast<CostClass>(1);

EndpointView endpoint(const std::string &host, const core::DataCentreId &dataCentre = north)
{
    routing::EndpointViewFields fields;
    fields.host = core::HostId(host);
    fields.dataCentre = dataCentre;
    fields.service = visits;
    fields.slots = 10;
    fields.reportedAt = startTime;
    fields.firstSeen = startTime - 1h;
    return EndpointView(std::move(fields));
}

routing::RoutingRequest request()
{
    return {.service = visits, .dataCentre = north, .costClass = Light};
}

core::RandomSource seeded(std::uint64_t seed)
{
    return [generator = std::make_shared<std::mt19937_64>(seed)] { return (*generator)(); };
}

/** Sends one request and records its answer. */
void answer(Router &router, const std::string &host, core::TimePoint now, WorkReport report, bool isOk = true)
{
    report.costClass = Light;
    report.hasAnswer = true;
    report.expectedCost = router.started(visits, core::HostId(host), now, Light);
    router.finished(visits,
                    core::HostId(host),
                    isOk ? RoutingResult::Ok : RoutingResult::Failed,
                    report.serviceTime,
                    0,
                    now,
                    report);
}

std::string chosen(Router &router, const std::vector<EndpointView> &views, core::TimePoint now)
{
    return router.choose(request(), views, now).host->value();
}

/** The selection before costs were known, written independently of rank(). */
std::string earlierChoice(Router &router,
                          const std::vector<EndpointView> &views,
                          std::uint64_t first,
                          std::uint64_t second,
                          core::TimePoint now)
{
    const auto load = [&](const EndpointView &view) {
        const auto traffic = router.traffic(visits, view->host);
        const auto decayed = [&](double value, core::TimePoint at) {
            return value <= 0 ? 0 : value * std::exp2(-double((now - at).count()) / 250e6);
        };
        return traffic.inFlight()
               + std::max(decayed(view->reportedLoad, view->reportedAt),
                          decayed(traffic.reportedLoad(), traffic.reportedAt()));
    };
    const auto scoreOf = [&](const EndpointView &view) { return (load(view) + 1) / view->slots; };
    std::array<std::vector<const EndpointView *>, 2> pools;
    bool isFull = true;
    for (const EndpointView &view : views) {
        const bool isLocal = view->dataCentre == north;
        pools[isLocal ? 0 : 1].push_back(&view);
        isFull = isFull && (!isLocal || load(view) / view->slots > 1);
    }
    const auto better = [&](const std::vector<const EndpointView *> &pool) {
        const std::size_t one = first % pool.size();
        const std::size_t other = (one + 1 + second % (pool.size() - 1)) % pool.size();
        return scoreOf(*pool[other]) < scoreOf(*pool[one]) ? pool[other] : pool[one];
    };
    const EndpointView *local = better(pools[0]);
    const EndpointView *remote = better(pools[1]);
    return (*(isFull && scoreOf(*remote) * 3 < scoreOf(*local) ? remote : local))->host.value();
}

test::ClusterSettings cluster(RoutingPolicy policy)
{
    test::ClusterSettings settings;
    settings.router.policy = policy;
    settings.endpoints = 6;
    settings.slots = 15;
    settings.serviceTime = 0.03;
    settings.load = 0.7;
    settings.speeds = {0.6, 1.0, 1.4};
    settings.isPaceReported = true;
    return settings;
}

/** Runs the cluster with both policies. @return 99th percentiles of latency: by load, by cost. */
std::pair<double, double> compared(test::ClusterSettings settings)
{
    std::array<double, 2> p99{};
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        settings.seed = seed;
        settings.router.policy = RoutingPolicy::Load;
        test::ClusterModel byLoad(settings);
        byLoad.run();
        settings.router.policy = RoutingPolicy::Cost;
        test::ClusterModel byCost(settings);
        byCost.run();
        p99[0] += byLoad.latencyQuantile(0.99) / 3;
        p99[1] += byCost.latencyQuantile(0.99) / 3;
    }
    return {p99[0], p99[1]};
}

}

TEST_GROUP(RequestsAreRoutedByCost){};

// Guards against a change of decisions, or of the use of random numbers, where endpoints report no pace.
TEST(RequestsAreRoutedByCost, onlyWhileAPaceIsReported)
{
    for (const RoutingPolicy policy : {RoutingPolicy::Auto, RoutingPolicy::Load}) {
        std::mt19937_64 events(11);
        const core::RandomSource draws = seeded(7);
        Router router({.random = seeded(7)}, {.policy = policy});
        std::vector<EndpointView> views;
        for (int i = 0; i < 8; ++i) {
            views.push_back(endpoint("h" + std::to_string(i), i < 5 ? north : south));
        }
        for (int i = 0; i < 2000; ++i) {
            const core::TimePoint now = startTime + i * 3ms;
            auto &view = views[events() % views.size()];
            view = view.with(&routing::EndpointViewFields::reportedLoad, double(events() % 20))
                       .with(&routing::EndpointViewFields::reportedAt, now);
            const std::uint64_t first = draws();
            const std::uint64_t second = draws();
            const std::string expected = earlierChoice(router, views, first, second, now);
            const std::string host = chosen(router, views, now);
            STRCMP_EQUAL(expected.c_str(), host.c_str());
            // Part of the requests stay in flight.
            const double cost = router.started(visits, core::HostId(host), now, Light);
            if (events() % 4 != 0) {
                const WorkReport report{.costClass = Light,
                                        .expectedCost = cost,
                                        .serviceTime = std::chrono::milliseconds(1 + events() % 50),
                                        .hasAnswer = true,
                                        .outstandingWork = 2};
                router.finished(visits, core::HostId(host), RoutingResult::Ok, 9ms, events() % 20, now, report);
            }
        }
    }
    section("a report activates it, its end deactivates it, and both are told", [] {
        std::vector<bool> changes;
        Router router({.random = seeded(7),
                       .policyChanged = [&](const core::ServiceId &, bool isByCost) { changes.push_back(isByCost); }});
        const std::vector<EndpointView> views{endpoint("a"), endpoint("b")};
        (void)chosen(router, views, startTime);
        answer(router, "a", startTime, {.serviceTime = 10ms, .pace = 1});
        (void)chosen(router, views, startTime);
        LONGS_EQUAL(1, router.workStates(startTime).size());
        (void)chosen(router, views, startTime + routing::ServiceWork::PaceLifetime);
        CHECK(changes == std::vector<bool>({true, false}));
        LONGS_EQUAL(0, router.workStates(startTime + routing::ServiceWork::PaceLifetime).size());
    });
}

// Guards against one long request that reorders endpoints, and against failures that count as cheap requests.
TEST(RequestsAreRoutedByCost, withARareRequestOfFiveTimesTheMean)
{
    Router router({.random = seeded(7)}, {.policy = RoutingPolicy::Cost});
    const std::vector<EndpointView> views{endpoint("slow"), endpoint("usual"), endpoint("quick")};
    for (int i = 0; i < 200; ++i) {
        answer(router, "slow", startTime, {.serviceTime = 17ms});
        answer(router, "usual", startTime, {.serviceTime = 10ms});
        answer(router, "quick", startTime, {.serviceTime = 7ms});
    }
    STRCMP_EQUAL("quick", chosen(router, views, startTime).c_str());
    section("one long request does not matter", [&] {
        answer(router, "quick", startTime, {.serviceTime = 35ms});
        STRCMP_EQUAL("quick", chosen(router, views, startTime).c_str());
    });
    section("quick failures do not make the slow one look quick, late ones count", [&] {
        for (int i = 0; i < 4; ++i) {
            answer(router, "slow", startTime, {.serviceTime = 1ms}, false);
        }
        STRCMP_EQUAL("quick", chosen(router, views, startTime).c_str());
        for (int i = 0; i < 30; ++i) {
            answer(router, "quick", startTime, {.serviceTime = 500ms}, i % 3 != 0);
            answer(router, "usual", startTime, {.serviceTime = 10ms});
        }
        CHECK(chosen(router, views, startTime) != "quick");
    });
}

// Guards against traffic between data centres for a small gain, and against a local queue beside an idle remote one.
TEST(RequestsAreRoutedByCost, inTheOwnDataCentreUnlessAnotherIsWorthIt)
{
    Router router({.random = seeded(7)}, {.policy = RoutingPolicy::Cost});
    const std::vector<EndpointView> views{endpoint("near"), endpoint("far", south)};
    for (int i = 0; i < 100; ++i) {
        answer(router, "near", startTime, {.serviceTime = 20ms});
        answer(router, "far", startTime, {.serviceTime = 10ms});
    }
    STRCMP_EQUAL("near", chosen(router, views, startTime).c_str());
    answer(router, "near", startTime, {.serviceTime = 20ms, .outstandingWork = 2});
    STRCMP_EQUAL("far", chosen(router, views, startTime).c_str());
    section("the report is forgotten with time",
            [&] { STRCMP_EQUAL("near", chosen(router, views, startTime + 2s).c_str()); });
}

// Guards against memory that grows with the methods that callers make up.
TEST(RequestsAreRoutedByCost, inBoundedMemory)
{
    routing::CostTable table;
    for (std::uint64_t i = 1; i <= 3 * routing::CostTable::MaxClasses; ++i) {
        table.record(static_cast<CostClass>(i), 0.5, startTime + std::chrono::milliseconds(i));
    }
    LONGS_EQUAL(routing::CostTable::MaxClasses, table.size());
    DOUBLES_EQUAL(0.5, table.estimate(static_cast<CostClass>(1)).mean(), 1e-9);
}

// Guards against routing that is worse than by load. Each section names its load; without a stated target, the bound
// is the load policy.
TEST(RequestsAreRoutedByCost, withLowerLatencyThanByLoad)
{
    const auto expectBetter = [](const test::ClusterSettings &settings) {
        const auto [byLoad, byCost] = compared(settings);
        CHECK_TEXT(byCost < byLoad,
                   ("by load " + std::to_string(byLoad) + ", by cost " + std::to_string(byCost)).c_str());
    };
    section("speeds 0.6, 1.0 and 1.4, load 0.7, 6 entries", [&] { expectBetter(cluster(RoutingPolicy::Cost)); });
    section("a pace between 0.6 and 2 that changes every 300 ms", [&] {
        auto settings = cluster(RoutingPolicy::Cost);
        settings.load = 0.6;
        settings.paceInterval = 0.3;
        expectBetter(settings);
        section("reports of the pace that are false", [&] {
            settings.isPaceFalse = true;
            expectBetter(settings);
        });
    });
    section("a tenth of heavy requests, and 2% of five times the mean", [&] {
        auto settings = cluster(RoutingPolicy::Cost);
        settings.heavyShare = 0.1;
        settings.rareShare = 0.02;
        expectBetter(settings);
    });
    section("96 entries that see the same view, up to 500 ms old", [&] {
        auto settings = cluster(RoutingPolicy::Cost);
        settings.entries = 96;
        settings.reportInterval = 0.5;
        expectBetter(settings);
    });
    section("the slowest endpoint reports idle in all its reports", [&] {
        auto settings = cluster(RoutingPolicy::Cost);
        settings.isFirstIdleInAll = true;
        expectBetter(settings);
    });
}
