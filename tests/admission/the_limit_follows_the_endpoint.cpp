#include "admission/endpoint_model.h"
#include "berylspring/admission/concurrency_limit.h"
#include "berylspring/admission/service_times.h"
#include "support/section.h"

#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::checkProperty;
using test::EndpointModel;
using test::ModelSettings;
using test::section;

namespace {

// Targets for the goodput at 3x overload, as a share of the capacity, and for the recovery time in seconds.
constexpr double GoodputTarget = 0.95;
constexpr double RecoveryTarget = 2;

}

TEST_GROUP(TheLimitFollowsTheEndpoint){};

// Guards against a limit that collapses in a slow phase, or stays low after it, and leaves slots unused.
TEST(TheLimitFollowsTheEndpoint, keepsTheGoodputThroughASlowPhase)
{
    // The slow phase has about 1400 requests, whose number alone varies by 2%, so the mean over several seeds is
    // checked.
    constexpr std::uint64_t Seeds = 10;
    double before = 0;
    double during = 0;
    double after = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        ModelSettings settings;
        settings.slowFrom = 8;
        settings.slowTo = 16;
        settings.slowFactor = 10;
        settings.length = 22;
        settings.seed = seed;
        EndpointModel model(settings);
        model.run();
        before += model.goodput(1, 8) / Seeds;
        during += settings.slowFactor * model.goodput(9, 16) / Seeds;
        after += model.goodput(18, 22) / Seeds;
        CHECK(model.recoveryTime(16, GoodputTarget) <= RecoveryTarget);
        CHECK_FALSE(model.hasExceededLimit());
    }
    section("at a load of three times the capacity", [&] { CHECK(before >= GoodputTarget); });
    section("while a dependency makes requests take ten times as long", [&] { CHECK(during >= GoodputTarget); });
    section("after the slow phase", [&] { CHECK(after >= GoodputTarget); });
}

// Guards against an estimate of the service time, left by requests that all timed out, that drops every request.
TEST(TheLimitFollowsTheEndpoint, recoversWhenNothingWasAnsweredInTime)
{
    ModelSettings settings;
    settings.slowFrom = 3;
    settings.slowTo = 8;
    settings.slowFactor = 200;
    settings.length = 13;
    EndpointModel model(settings);
    model.run();
    CHECK(model.recoveryTime(8, GoodputTarget) <= RecoveryTarget);
}

// Guards against trusting overstated slots, which costs an endpoint more than half of its capacity by contention.
TEST(TheLimitFollowsTheEndpoint, findsOutThatSlotsAreOverstated)
{
    ModelSettings settings;
    settings.announcedSlots = 80;
    settings.capacity = 20;
    settings.contention = 0.5;
    settings.length = 13;
    EndpointModel learning(settings);
    learning.run();
    settings.rule = admission::LimitRule::Fixed;
    EndpointModel fixed(settings);
    fixed.run();
    CHECK(learning.limit() < settings.announcedSlots / 2);
    CHECK(learning.goodput(5, 13) > 1.5 * fixed.goodput(5, 13));
}

// Guards against a limit of 0, which would never see another sample, and one above the announced slots.
TEST(TheLimitFollowsTheEndpoint, staysBetweenOneAndTheSlots)
{
    checkProperty("1 <= limit <= slots under any samples", [](const std::vector<std::pair<std::uint16_t, bool>> &runs) {
        constexpr std::uint32_t Slots = 7;
        core::TimePoint now{1h};
        for (const auto rule : {admission::LimitRule::Elasticity,
                                admission::LimitRule::Gradient,
                                admission::LimitRule::Aimd,
                                admission::LimitRule::Fixed}) {
            admission::ConcurrencyLimit limit(rule, Slots, now);
            // Repeated, so that windows end and the rule is applied.
            for (int repeat = 0; repeat < 30; ++repeat) {
                for (const auto &[milliseconds, isError] : runs) {
                    now += std::chrono::milliseconds(milliseconds % 100);
                    const admission::LimitSample sample{
                        std::chrono::milliseconds(milliseconds), limit.limit(), isError};
                    limit = limit.withSample(sample, now);
                    RC_ASSERT(limit.limit() >= 1U);
                    RC_ASSERT(limit.limit() <= Slots);
                }
            }
        }
        RC_ASSERT(admission::ConcurrencyLimit(admission::LimitRule::Elasticity, 0, now).limit() == 0U);
    });
}

// Guards against dropping requests because of service times that are outdated or too few.
TEST(TheLimitFollowsTheEndpoint, forgetsOldServiceTimes)
{
    admission::ServiceTimes times;
    core::TimePoint now{1h};
    for (int i = 0; i < 19; ++i) {
        times = times.withSample(2s, now);
    }
    CHECK(times.lowQuantile(now) == 0ns);
    times = times.withSample(2s, now);
    CHECK(times.lowQuantile(now) > 1s);
    CHECK(times.lowQuantile(now) <= 2s);
    CHECK(times.mean(now) == 2s);
    CHECK(times.lowQuantile(now + 1s) == 0ns);
    CHECK(times.mean(now + 1s) == 0ns);
}
