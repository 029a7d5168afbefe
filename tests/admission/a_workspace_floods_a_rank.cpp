#include "admission/deep_service.h"
#include "berylspring/admission/workspace_shares.h"
#include "support/section.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using admission::FairLevels;
using admission::RootAdmission;
using admission::RootClass;
using admission::WorkspaceDemand;
using admission::WorkspaceShares;
using test::DeepService;
using test::section;

namespace {

constexpr WorkspaceShares::Rank Rank = 5;
constexpr double Flood = 875; ///< Requests per second, 14 times the usual ones.
constexpr double UsualRate = 62.5; ///< Of each of the other four workspaces.

void offer(DeepService &deep, double flood)
{
    const RootClass visit{.route = core::RouteId("visit"), .service = core::ServiceId("visits"), .level = 6};
    for (const char *name : {"a", "b", "c", "d"}) {
        deep.offer(visit, UsualRate, 4, core::WorkspaceId(name));
    }
    deep.offer(visit, flood, 4, core::WorkspaceId("flood"));
}

WorkspaceDemand demandOf(double work, double promised = 0, double weight = 1)
{
    return {.work = work, .promised = promised, .workAtLastRequest = work, .weight = weight};
}

/** @brief The shares of an entry at which each of some workspaces sends requests at its own rate. */
struct Arrivals
{
    WorkspaceShares shares;
    core::TimePoint now{1h};

    /** @return The mean share that is shed of the requests of the last workspace, while half of the work is shed. */
    double shedOfLast(const std::vector<double> &ratesPerSecond, core::Duration time)
    {
        std::vector<double> due;
        for (std::size_t i = 0; i < ratesPerSecond.size(); ++i) {
            // Spreads the first requests, as workspaces do not send at the same moments.
            due.push_back(std::fmod(0.618 * static_cast<double>(i), 1.0));
        }
        double sum = 0;
        double count = 0;
        for (const core::TimePoint end = now + time; now < end; now += 5ms) {
            for (std::size_t i = 0; i < due.size(); ++i) {
                for (due[i] += 0.005 * ratesPerSecond[i]; due[i] >= 1; due[i] -= 1) {
                    const core::WorkspaceId name("w" + std::to_string(i));
                    const auto demand = shares.recordRequest(Rank, {.workspace = name}, 1, false, now);
                    const double shed = shares.shareOf(Rank, demand, 0.5, now).shed;
                    sum += i + 1 == due.size() ? shed : 0;
                    count += i + 1 == due.size() ? 1 : 0;
                }
            }
        }
        return sum / count;
    }
};

/** @brief An entry whose responses report a steady pressure. */
struct Entry
{
    std::uint64_t drawn = 0;
    RootAdmission admission{[this] { return ++drawn * 6364136223846793005ULL >> 7U; }};
    core::TimePoint now{1h};

    static admission::RootRequest requestOf(const char *workspace, core::PriorityLevel level, bool hasPromise = false)
    {
        return {.root = {.route = core::RouteId("visit"), .service = core::ServiceId("visits"), .level = level},
                .hasPromise = hasPromise,
                .load = admission::WorkspaceLoad{.workspace = core::WorkspaceId(workspace)}};
    }
    admission::RootDecision decide(const admission::RootRequest &request)
    {
        now += 5ms;
        const core::Duration latency = now < core::TimePoint(1h + 50ms) ? 10ms : 200ms;
        const admission::RootDecision decision = admission.decide(request, now);
        admission.recordResult(request.root, {.pressure = 1.3, .latency = latency}, now);
        return decision;
    }
};

}

TEST_GROUP(AWorkspaceFloodsARank){};

// Load pattern: one of five workspaces of the same rank sends 14 times its usual requests to an overloaded deep
// service. Guards against a flood that takes the capacity of the other workspaces, and against shares that leave
// capacity unused.
TEST(AWorkspaceFloodsARank, andIsShedBeforeTheOthers)
{
    DeepService deep(1500);
    offer(deep, Flood);
    (void)deep.run(5s);
    const auto uniform = deep.run(10s);
    section("hardly any but the flood are shed, and no capacity is left unused", [&] {
        deep.shareAmongWorkspaces();
        (void)deep.run(5s);
        const auto sent = deep.run(10s);
        double others = 0;
        for (const char *name : {"a", "b", "c", "d"}) {
            CHECK_TRUE(uniform.at(name) < 0.5 && sent.at(name) > 0.95);
            others += UsualRate * sent.at(name);
        }
        CHECK_TRUE(sent.at("flood") < uniform.at("flood"));
        CHECK_TRUE(4 * (others + Flood * sent.at("flood")) > 0.95 * 1500);
    });
    section("two seconds after the flood, nearly everything is sent again", [&] {
        offer(deep, UsualRate);
        (void)deep.run(2s);
        CHECK_TRUE(deep.run(3s).at("flood") > 0.95);
    });
    section("with late feedback, the share of the rank swings, and most requests of the others are sent", [] {
        DeepService late(1500);
        late.delayFeedback();
        late.shareAmongWorkspaces();
        offer(late, Flood);
        (void)late.run(5s);
        CHECK_TRUE(late.run(10s).at("a") > 2 * 0.342); // Without shares, 0.342 are sent.
    });
}

// Load pattern: a partly shed rank of workspaces with different demands, weights and promised returns. Guards against
// shares that admit more or less work than the controller has set.
TEST(AWorkspaceFloodsARank, whoseAdmittedWorkStaysTheSame)
{
    section("small demands are met, and large ones are cut to one level", [] {
        const std::vector<WorkspaceDemand> demands{demandOf(10), demandOf(20), demandOf(70)};
        DOUBLES_EQUAL(20, FairLevels(demands).levelFor(0.5), 1e-9);
        DOUBLES_EQUAL(40, FairLevels(demands).levelFor(0.3), 1e-9);
        CHECK_TRUE(std::isinf(FairLevels(demands).levelFor(0)));
    });
    section("promised work is admitted first, weights multiply the level, and the sum is kept", [] {
        const std::vector<WorkspaceDemand> demands{demandOf(10), demandOf(50, 40), demandOf(40, 5, 2)};
        for (const double shed : {0.1, 0.3, 0.5, 0.55}) {
            const double level = FairLevels(demands).levelFor(shed);
            double admitted = 0;
            for (const WorkspaceDemand &demand : demands) {
                admitted += std::max(demand.promised, std::min(demand.work, level * demand.weight));
            }
            DOUBLES_EQUAL(100 * (1 - shed), admitted, 1e-9);
        }
        DOUBLES_EQUAL(0, FairLevels(demands).levelFor(0.9), 1e-9);
    });
}

// Load pattern: many workspaces that send a request every few seconds each. Guards against memory that grows with their
// number, and against shares that shed far more or less than half because each demand is nearly always decayed.
TEST(AWorkspaceFloodsARank, orAThousandSmallOnesDoTogether)
{
    Arrivals arrivals;
    DOUBLES_EQUAL(0.5, arrivals.shedOfLast(std::vector<double>(500, 0.25), 20s), 0.05);
    section("of which the ones without a request for the longest time are removed", [] {
        Arrivals crowd;
        std::vector<double> rates(2 * WorkspaceShares::MaxWorkspaces, 1);
        rates.back() = 10;
        (void)crowd.shedOfLast(rates, 2s);
        CHECK_TRUE(crowd.shares.size(Rank) <= WorkspaceShares::MaxWorkspaces);
        CHECK_TRUE(crowd.shares.size(Rank) > WorkspaceShares::MaxWorkspaces - WorkspaceShares::RemovalBatch);
        const core::WorkspaceId steady("w" + std::to_string(rates.size() - 1));
        const auto demand = crowd.shares.recordRequest(Rank, {.workspace = steady}, 1, false, crowd.now);
        DOUBLES_EQUAL(10 * 2 * (1 - std::exp(-1)) + 1, demand.work, 1);
    });
    section("and all of them, when their rank has been idle and others are not", [&] {
        (void)arrivals.shares.recordRequest(Rank + 1, {}, 1, false, arrivals.now + 11s);
        LONGS_EQUAL(0, arrivals.shares.size(Rank));
    });
}

// Load pattern: a node restarts during a flood, and a workspace appears during another one. Guards against a new
// process that takes seconds to tell the flood from the others, and against shares that punish a workspace for being
// new.
TEST(AWorkspaceFloodsARank, whileItsNodeRestarts)
{
    Arrivals restarted;
    (void)restarted.shedOfLast({100, 10}, 2s);
    DOUBLES_EQUAL(0, restarted.shedOfLast({100, 10}, 2s), 0.01);
    DOUBLES_EQUAL(0, restarted.shedOfLast({100, 10, 10}, 1s), 0.01);
}

// Load pattern: two ranks at an entry whose metrics are read. Guards against a reader that changes when the shares of
// the ranks are computed, and with them the decisions.
TEST(AWorkspaceFloodsARank, andIsShedAlikeWhileMetricsAreRead)
{
    Entry read;
    Entry unread;
    for (int i = 0; i < 2000; ++i) {
        const auto request = Entry::requestOf(i % 3 == 0 ? "usual" : "flood", i % 700 < 300 ? 5 : 6);
        (void)read.admission.highestWorkspaceShedding(read.now + 4ms);
        CHECK_TRUE(read.decide(request) == unread.decide(request));
    }
    CHECK_TRUE(read.admission.highestWorkspaceShedding(read.now) > 0);
}

// Load pattern: promised returns of one workspace ask for more than a rank is admitted. Guards against a workspace of
// newcomers of which nothing is sent any more, and against an explanation that names another share.
TEST(AWorkspaceFloodsARank, withPromisedReturnsOnly)
{
    Entry entry;
    for (int i = 0; i < 1000; ++i) {
        (void)entry.decide(Entry::requestOf("returning", 5, true));
    }
    const auto newcomer = Entry::requestOf("new", 5);
    int sent = 0;
    for (int i = 0; i < 5000; ++i) {
        if (i % 10 > 0) {
            (void)entry.decide(Entry::requestOf("returning", 5, true));
            continue;
        }
        const double explained = entry.admission.shedShare(newcomer, entry.now);
        const auto decision = entry.decide(newcomer);
        CHECK_TRUE(explained > 0.9 && explained < 1);
        DOUBLES_EQUAL(explained, decision.workspaceShedShare, 1e-9);
        sent += decision.isAdmitted ? 1 : 0;
    }
    CHECK_TRUE(sent > 0);
    CHECK_TRUE(entry.admission.highestWorkspaceShedding(entry.now) < 1);
}
