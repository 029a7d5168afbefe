#include "admission/deep_service.h"
#include "berylspring/admission/workspace_shares.h"
#include "support/section.h"

#include <array>
#include <cmath>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using admission::FairLevels;
using admission::RootClass;
using admission::SheddableShare;
using admission::WorkspaceDemand;
using admission::WorkspaceShares;
using test::DeepService;
using test::section;

namespace {

constexpr WorkspaceShares::Rank Rank = 5;
const core::TimePoint StartTime{1h};
const RootClass Visit{
    .route = core::RouteId("visit"), .service = core::ServiceId("visits"), .level = 6, .routeLevel = 5};

constexpr std::array<const char *, 4> Others{"a", "b", "c", "d"};
constexpr double UsualRate = 62.5; ///< Requests per second of each of the others.
constexpr double CallsPerRequest = 4;

void offer(DeepService &deep, double flood)
{
    for (const char *name : Others) {
        deep.offer(Visit, UsualRate, CallsPerRequest, core::WorkspaceId(name));
    }
    deep.offer(Visit, flood, CallsPerRequest, core::WorkspaceId("flood"));
}

WorkspaceDemand demandOf(double work, double promised = 0, double weight = 1)
{
    return {.work = work, .promised = promised, .atLastRequest = work, .weight = weight};
}

/** @return Work that is admitted of the demands when this share is shed. */
double admittedOf(const std::vector<WorkspaceDemand> &demands, double shedShare)
{
    const double level = FairLevels(demands).levelFor(shedShare);
    double admitted = 0;
    for (const WorkspaceDemand &demand : demands) {
        admitted += std::max(demand.promised, demand.work * (1 - FairLevels::shedShare(demand, level)));
    }
    return admitted;
}

/** @brief The shares of an entry at which each of some workspaces sends requests at its own rate. */
struct Arrivals
{
    WorkspaceShares shares;
    core::TimePoint now = StartTime;

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
                    const SheddableShare share = shares.shareOf(Rank, demand, 0.5, now);
                    sum += i + 1 == due.size() ? share.shed : 0;
                    count += i + 1 == due.size() ? 1 : 0;
                }
            }
        }
        return sum / count;
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
    double flood = 0;
    section("without shares, all are shed alike", [&] {
        offer(deep, 875);
        (void)deep.run(5s);
        const auto sent = deep.run(10s);
        CHECK_TRUE(sent.at("a") < 0.5);
        flood = sent.at("flood");
    });
    section("with shares, hardly any but the flood are shed, and no capacity is left unused", [&] {
        deep.shareAmongWorkspaces();
        (void)deep.run(5s);
        const auto sent = deep.run(10s);
        for (const char *name : Others) {
            CHECK_TRUE(sent.at(name) > 0.95);
        }
        CHECK_TRUE(sent.at("flood") < flood);
        CHECK_TRUE(CallsPerRequest * (4 * UsualRate + 875 * sent.at("flood")) > 0.95 * 1500);
    });
    section("two seconds after the flood, nearly everything is sent again", [&] {
        offer(deep, UsualRate);
        (void)deep.run(2s);
        CHECK_TRUE(deep.run(3s).at("flood") > 0.95);
    });
}

// Load pattern: the same flood, with feedback only when root requests end, so that the share of the rank swings.
// Guards against shares that protect the others only while the controller is steady.
TEST(AWorkspaceFloodsARank, whileFeedbackIsLate)
{
    const auto sentOfOthers = [](bool isShared) {
        DeepService deep(1500);
        deep.delayFeedback();
        if (isShared) {
            deep.shareAmongWorkspaces();
        }
        offer(deep, 875);
        (void)deep.run(5s);
        return deep.run(10s).at("a");
    };
    CHECK_TRUE(sentOfOthers(true) > 2 * sentOfOthers(false));
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
    section("a weight multiplies the level", [] {
        const std::vector<WorkspaceDemand> demands{demandOf(60), demandOf(60, 0, 3)};
        const double level = FairLevels(demands).levelFor(0.5);
        DOUBLES_EQUAL(0.75, FairLevels::shedShare(demands[0], level), 1e-9);
        DOUBLES_EQUAL(0.25, FairLevels::shedShare(demands[1], level), 1e-9);
    });
    section("promised work is admitted first, and the sum is kept", [] {
        const std::vector<WorkspaceDemand> demands{demandOf(10), demandOf(50, 40), demandOf(40, 5, 2)};
        for (const double shed : {0.1, 0.3, 0.5}) {
            DOUBLES_EQUAL(100 * (1 - shed), admittedOf(demands, shed), 1e-9);
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
    for (std::size_t i = 0; i < 2 * WorkspaceShares::MaxWorkspaces; ++i) {
        const core::WorkspaceId name("n" + std::to_string(i));
        (void)arrivals.shares.recordRequest(Rank, {.workspace = name}, 1, false, arrivals.now + 1ms * i);
    }
    LONGS_EQUAL(WorkspaceShares::MaxWorkspaces, arrivals.shares.size(Rank));
}

// Load pattern: a node restarts during a flood, and a workspace appears during another one. Guards against a new
// process that takes seconds to tell the flood from the others, and against shares that punish a workspace for being
// new.
TEST(AWorkspaceFloodsARank, whileItsNodeRestarts)
{
    section("two seconds after the restart, the workspace below the level is not shed", [] {
        Arrivals restarted;
        (void)restarted.shedOfLast({100, 10}, 2s);
        DOUBLES_EQUAL(0, restarted.shedOfLast({100, 10}, 2s), 0.01);
    });
    section("nor is one that is new", [] {
        Arrivals arrivals;
        (void)arrivals.shedOfLast({100}, 5s);
        DOUBLES_EQUAL(0, arrivals.shedOfLast({100, 10}, 1s), 0.01);
    });
}
