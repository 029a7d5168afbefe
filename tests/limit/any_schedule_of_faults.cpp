#include "limit/fleet.h"
#include "support/section.h"

#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::checkProperty;
using test::Fleet;
using test::FleetPlan;

namespace {

constexpr core::Duration RunTime = 9s;
/** Far above the floating-point rounding of token counts. */
constexpr double RoundingTolerance = 1e-3;

enum class Fault : int {
    Pause,
    ShortPause,
    Kill,
    QuickRestart,
    GracefulStop,
    Partition,
    PauseOwner,
    KillOwner,
    KillAll,
    Start,
    Count,
};

/** @brief One fault of a schedule, generated and shrunk by rapidcheck. */
struct Step
{
    int fault;
    int host;
    int atMilliseconds;
    int milliseconds;
};

void showValue(const Step &step, std::ostream &out)
{
    out << "fault " << step.fault << " on host " << step.host << " at " << step.atMilliseconds << " ms for "
        << step.milliseconds << " ms";
}

void apply(Fleet &fleet, const Step &step)
{
    const core::Duration duration = step.milliseconds * 1ms;
    const int host = step.host % fleet.hostCount();
    const int owner = fleet.ownerIn(0);
    const auto restart = [&](int which, core::Duration after) {
        fleet.at(fleet.elapsed() + after, [&fleet, which] { fleet.start(which); });
    };
    switch (static_cast<Fault>(step.fault)) {
    case Fault::Pause:
        return fleet.pause(host, duration);
    case Fault::ShortPause:
        return fleet.pause(host, duration / 40);
    case Fault::Kill:
        return fleet.kill(host);
    case Fault::QuickRestart:
        fleet.kill(host);
        return restart(host, duration / 10);
    case Fault::GracefulStop:
        fleet.stopGracefully(host);
        return restart(host, 600ms + duration);
    case Fault::Partition:
        return fleet.partition(host % 3, duration);
    case Fault::PauseOwner:
        return fleet.pause(owner, duration);
    case Fault::KillOwner:
        fleet.kill(owner);
        return restart(owner, duration);
    case Fault::KillAll:
        for (int each = 0; each < fleet.hostCount(); ++each) {
            fleet.kill(each);
            restart(each, duration / 10 * (each % 4));
        }
        return;
    default:
        fleet.kill(host);
        return restart(host, 0ms);
    }
}

rc::Gen<Step> anyStep()
{
    return rc::gen::construct<Step>(rc::gen::inRange(0, static_cast<int>(Fault::Count)),
                                    rc::gen::inRange(0, 9),
                                    rc::gen::inRange(0, 7500),
                                    rc::gen::inRange(1, 6500));
}

/** @brief Sends 2.5 times the rate to random hosts or, for some periods, to a single one; with occasional breaks. */
void overload(Fleet &fleet, double rate, std::mt19937_64 &random)
{
    core::Duration time = 0ms;
    int hotHost = 0;
    while (time < RunTime) {
        time += limit::durationOf(1 / (rate * 2.5));
        if (random() % 400 == 0) {
            hotHost = static_cast<int>(random() % 12);
            time += random() % 4 == 0 ? 400ms : 0ms;
        }
        const int host = hotHost < fleet.hostCount() ? hotHost : static_cast<int>(random() % 9);
        fleet.at(time, [&fleet, host] { fleet.request(host % fleet.hostCount()); });
    }
}

FleetPlan anyPlan(std::uint64_t seed, std::mt19937_64 &random)
{
    const double rate = 100.0 + static_cast<double>(random() % 300);
    const double burst = rate * (0.02 + static_cast<double>(random() % 100) / 100);
    FleetPlan plan;
    plan.dataCentres = 1 + static_cast<int>(random() % 3);
    plan.hostsPerDataCentre = 2 + static_cast<int>(random() % 2);
    plan.limit = limit::WorkspaceLimit(rate, burst);
    plan.seed = seed;
    plan.loss = random() % 2 == 0 ? 0 : 0.1;
    plan.duplication = random() % 2 == 0 ? 0 : 0.1;
    plan.maxExtraDelay = random() % 2 == 0 ? 0ms : 40ms;
    return plan;
}

}

TEST_GROUP(AnyScheduleOfFaults){};

// Guards against exceeding the limit after pauses, crashes, partitions and lost, duplicated or delayed messages.
TEST(AnyScheduleOfFaults, staysWithinRateAndBurstInEveryWindow)
{
    checkProperty("admitted <= rate x window + burst", [] {
        const auto seed = *rc::gen::resize(1000, rc::gen::arbitrary<std::uint32_t>());
        const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
        std::mt19937_64 random(seed);
        const FleetPlan plan = anyPlan(seed, random);
        Fleet fleet(plan);
        overload(fleet, plan.limit.rate(), random);
        for (const Step &step : steps) {
            fleet.at(step.atMilliseconds * 1ms, [&fleet, step] { apply(fleet, step); });
        }
        fleet.run(RunTime);
        const double excess = test::excess(fleet.admissions(), plan.limit, 0ms, RunTime);
        if (excess > RoundingTolerance) {
            RC_FAIL("exceeded by " + std::to_string(excess));
        }
        RC_CLASSIFY(!fleet.admissions().empty(), "admitted");
        RC_CLASSIFY(excess > -plan.limit.burst() / 2, "used more than half of the burst");
    });
}

// Guards against exceeding the larger limit while hosts apply a change at different times.
TEST(AnyScheduleOfFaults, staysWithinTheLargerLimitWhileItChanges)
{
    checkProperty("admitted <= larger rate x window + larger burst", [] {
        const auto seed = *rc::gen::resize(1000, rc::gen::arbitrary<std::uint32_t>());
        const auto steps = *rc::gen::resize(4, rc::gen::container<std::vector<Step>>(anyStep()));
        std::mt19937_64 random(seed);
        const FleetPlan plan = anyPlan(seed, random);
        const limit::WorkspaceLimit before = plan.limit;
        const limit::WorkspaceLimit after = anyPlan(seed, random).limit;
        Fleet fleet(plan);
        overload(fleet, std::max(before.rate(), after.rate()), random);
        for (const Step &step : steps) {
            fleet.at(step.atMilliseconds * 1ms, [&fleet, step] { apply(fleet, step); });
        }
        fleet.at(4s, [&] { fleet.changeLimit(after); });
        fleet.run(RunTime);
        const limit::WorkspaceLimit larger(std::max(before.rate(), after.rate()),
                                           std::max(before.burst(), after.burst()));
        RC_ASSERT(test::excess(fleet.admissions(), before, 0ms, 4s) < RoundingTolerance);
        RC_ASSERT(test::excess(fleet.admissions(), larger, 0ms, RunTime) < RoundingTolerance);
        // The change is applied within a second, and earlier loans have expired 1.1 s after that.
        RC_ASSERT(test::excess(fleet.admissions(), after, 6200ms, RunTime) < RoundingTolerance);
    });
}
