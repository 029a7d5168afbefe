#include "berylspring/admission/root_admission.h"
#include "berylspring/node/root_control.h"
#include "support/section.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
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
    std::mt19937_64 generator{7};
    RootControl control;
    core::TimePoint now{1h};
    std::vector<RootRefusal> refusals;
    std::vector<bool> decisions; ///< Whether each request was admitted.
    std::map<std::string, double> explained; ///< Mean explained share of each workspace during the last run().

    std::uint64_t random()
    {
        ++drawn;
        return generator();
    }
    /** @return The shares of the requests of each workspace that are shed while "flood" sends ten times as many. */
    std::map<std::string, double> run(int requests = 1000)
    {
        std::map<std::string, double> asked;
        std::map<std::string, double> shed;
        explained.clear();
        for (int i = 0; i < requests; ++i) {
            now += 5ms;
            const std::string name = i % 11 == 0 ? "usual" : "flood";
            const node::CallPlan plan({.route = core::RouteId("visit"),
                                       .service = core::ServiceId("visits"),
                                       .workspace = core::WorkspaceId(name),
                                       .timeout = 9s});
            explained[name] += control.shedShare(plan, "GET", now);
            const auto refusal = control.admit(http::CallerRequest(), plan, now);
            decisions.push_back(!refusal);
            if (refusal) {
                refusals.push_back(*refusal);
            } else {
                const wire::CallResponse response({.status = 200, .pressure = 1.3, .pace = pace});
                control.recordPace(response, now);
                control.recordResult(plan, response, i < 10 ? 10ms : 200ms, now);
            }
            asked[name] += 1;
            shed[name] += refusal ? 1 : 0;
        }
        for (auto &[name, count] : shed) {
            count /= asked[name];
            explained[name] /= asked[name];
        }
        return shed;
    }
    /** @return The decisions on the same requests of an admission that knows no workspaces. */
    std::vector<bool> runWithoutWorkspaces()
    {
        admission::RootAdmission plain([this] { return random(); });
        const admission::RootClass visit{.route = core::RouteId("visit"), .service = core::ServiceId("visits")};
        for (int i = 0; i < 1000; ++i) {
            now += 5ms;
            decisions.push_back(plain.admits(visit, now));
            if (decisions.back()) {
                plain.recordResult(visit, {.pressure = 1.3, .latency = i < 10 ? 10ms : 200ms}, now);
            } else {
                (void)random(); // Jitter of the time to return.
            }
        }
        return decisions;
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
    CHECK_TRUE(off.run().at("usual") > 0.1);
    (void)unreported.run();
    CHECK_TRUE(off.refusals == unreported.refusals);
    LONGS_EQUAL(off.drawn, unreported.drawn);
    Flood plain(WorkspaceSharesMode::Off, 0);
    CHECK_TRUE(plain.runWithoutWorkspaces() == off.decisions);
    LONGS_EQUAL(plain.drawn, off.drawn);
    DOUBLES_EQUAL(0, off.control.workspaceShedding(off.now), 0);
}

// Load pattern: the same flood where the pace is reported. Guards against a switch, a weight or a cost that has no
// effect, and against a report of the shares that hides the flood.
TEST(WorkspacesThatShareAnEntry, areShedByTheirDemandWhereThePaceIsReported)
{
    section("the one that floods", [] {
        Flood flood(WorkspaceSharesMode::Auto, 1);
        DOUBLES_EQUAL(0, flood.run().at("usual"), 0.03);
        CHECK_TRUE(flood.control.workspaceShedding(flood.now) > 0.1);
        CHECK_TRUE(flood.refusals.back().workspaceShedShare > 0.1);
        flood.now += 11s;
        DOUBLES_EQUAL(0, flood.control.workspaceShedding(flood.now), 0);
    });
    section("or the other one, if its requests cost more, or the flood has the greater weight", [] {
        const auto costOf = [](const node::CallPlan &plan, std::string_view) {
            return plan->workspace.value() == "usual" ? 100.0 : 1.0;
        };
        const auto weightOf = [](const core::WorkspaceId &name) { return name.value() == "flood" ? 1000.0 : 1.0; };
        Flood costly(WorkspaceSharesMode::On, 0, {.costOf = costOf});
        Flood heavy(WorkspaceSharesMode::On, 0, {.weightOf = weightOf});
        for (const auto &shed : {costly.run(), heavy.run()}) {
            CHECK_TRUE(shed.at("usual") > shed.at("flood"));
        }
    });
}

// Load pattern: the same flood, and one in which the other workspace has the larger demand. Guards against explained
// shares that differ from the shed ones.
TEST(WorkspacesThatShareAnEntry, areShedInTheSharesThatAreExplained)
{
    Flood flood(WorkspaceSharesMode::On, 0);
    Flood costly(WorkspaceSharesMode::On, 0, {.costOf = [](const node::CallPlan &plan, std::string_view) {
                     return plan->workspace.value() == "usual" ? 100.0 : 1.0;
                 }});
    for (Flood *load : {&flood, &costly}) {
        (void)load->run(); // While the demand is new, decisions use shares that are up to 200 ms old.
        for (const auto &[name, shed] : load->run(4000)) {
            // Two standard deviations of the share of the 364 requests of "usual".
            DOUBLES_EQUAL(shed, load->explained.at(name), 0.05);
        }
    }
    CHECK_TRUE(flood.explained.at("flood") > 0.1 && costly.explained.at("usual") > 0.1);
}
