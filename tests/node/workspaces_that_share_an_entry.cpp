#include "berylspring/node/root_control.h"
#include "support/section.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using node::RootControl;
using node::RootRefusal;
using node::WorkspaceSharesMode;
using test::section;

namespace {

/** @brief An entry whose endpoint answers under steady pressure, and reports its pace or not. */
struct Flood
{
    Flood(WorkspaceSharesMode mode, double pacePerResponse, node::RootControlHooks hooks = {})
        : pace(pacePerResponse)
        , control(
              {.returnTimes = node::ReturnTimes::Off, .workspaceShares = mode},
              [this] { return random(); },
              std::move(hooks))
    {
    }

    double pace;
    std::uint64_t drawn = 0;
    RootControl control;
    core::TimePoint now{1h};
    std::vector<RootRefusal> refusals;

    std::uint64_t random()
    {
        return ++drawn * 6364136223846793005ULL >> 7U;
    }
    /** @return Share of the requests of a workspace that is shed in 5 s in which "flood" sends ten times as many. */
    double shedOf(const std::string &workspace)
    {
        constexpr int Steps = 1000;
        double asked = 0;
        double shed = 0;
        for (int i = 0; i < Steps; ++i) {
            now += 5ms;
            const bool isFlood = i % 11 != 0;
            const node::CallPlan plan({.route = core::RouteId("visit"),
                                       .service = core::ServiceId("visits"),
                                       .workspace = core::WorkspaceId(isFlood ? "flood" : "usual"),
                                       .timeout = 9s});
            const auto refusal = control.admit(http::CallerRequest(), plan, now);
            if (refusal) {
                refusals.push_back(*refusal);
            } else {
                const wire::CallResponse response({.status = 200, .pressure = 1.3, .pace = pace});
                control.recordPace(response, now);
                control.recordResult(plan, response, i < 10 ? 10ms : 200ms, now);
            }
            asked += plan->workspace.value() == workspace ? 1 : 0;
            shed += refusal && plan->workspace.value() == workspace ? 1 : 0;
        }
        return shed / asked;
    }
};

}

TEST_GROUP(WorkspacesThatShareAnEntry){};

// Load pattern: a workspace sends ten times as many requests as another one of its rank, behind which a service is
// overloaded. Guards against other decisions, or more random numbers, in deployments that report no pace.
TEST(WorkspacesThatShareAnEntry, areShedAlikeUnlessTheirDeploymentCallsForMore)
{
    Flood off(WorkspaceSharesMode::Off, 1);
    Flood unreported(WorkspaceSharesMode::Auto, 0);
    CHECK_TRUE(off.shedOf("usual") > 0.1);
    (void)unreported.shedOf("usual");
    CHECK_TRUE(off.refusals == unreported.refusals);
    LONGS_EQUAL(off.drawn, unreported.drawn);
    DOUBLES_EQUAL(0, off.control.workspaceShedding(off.now), 0);
}

// Load pattern: the same flood where the pace is reported. Guards against a switch, a weight or a cost that has no
// effect, and against a report of the shares that hides the flood.
TEST(WorkspacesThatShareAnEntry, areShedByTheirDemandWhereThePaceIsReported)
{
    section("the one that floods", [] {
        Flood flood(WorkspaceSharesMode::Auto, 1);
        DOUBLES_EQUAL(0, flood.shedOf("usual"), 0.03);
        CHECK_TRUE(flood.control.workspaceShedding(flood.now) > 0.1);
        CHECK_TRUE(flood.refusals.back().workspaceShedShare > 0.1);
        flood.now += 11s;
        DOUBLES_EQUAL(0, flood.control.workspaceShedding(flood.now), 0);
    });
    section("or the other one, if its requests cost far more", [] {
        Flood flood(WorkspaceSharesMode::On, 0, {.costOf = [](const http::CallerRequest &, const node::CallPlan &plan) {
                        return plan->workspace.value() == "usual" ? 100.0 : 1.0;
                    }});
        CHECK_TRUE(flood.shedOf("usual") > flood.shedOf("flood"));
    });
    section("or if the flood has by far the greater weight", [] {
        Flood flood(WorkspaceSharesMode::On, 0, {.weightOf = [](const core::WorkspaceId &workspace) {
                        return workspace.value() == "flood" ? 1000.0 : 1.0;
                    }});
        CHECK_TRUE(flood.shedOf("usual") > flood.shedOf("flood"));
    });
}
