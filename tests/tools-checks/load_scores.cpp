#include "integration/harness/scores.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

/** @brief Calls every 10 ms for `length`. Those due in the gap are refused, all others complete. */
test::ScoredClass steady(const std::string &tenant, core::Duration length, test::Period gap, double weight = 1)
{
    std::vector<test::LoadSample> samples;
    for (core::Duration due{}; due < length; due += 10ms) {
        const bool isComplete = due < gap.begin || due >= gap.end;
        const core::Outcome outcome = isComplete ? core::Outcome::Answered : core::Outcome::NotRun;
        samples.push_back({.due = due,
                           .latency = 1ms,
                           .outcome = outcome,
                           .reason = isComplete ? "" : "limit-exceeded",
                           .isComplete = isComplete,
                           .attempts = 1});
    }
    return {.tenant = tenant,
            .kind = "read",
            .weight = weight,
            .limitPerSecond = 1000,
            .report = test::LoadReport(tenant, std::move(samples))};
}

}

TEST_GROUP(LoadScores){};

TEST(LoadScores, countRecoveryOnlyIfItLasts)
{
    section("full goodput 700 ms after the fault", [] {
        const auto recovery = test::recoveryTime({steady("a", 6s, {1s, 2700ms})}, 2s, 6s, 95);
        CHECK(recovery.has_value());
        CHECK(*recovery >= 600ms);
        CHECK(*recovery <= 800ms);
    });
    section("half a second of full goodput before a relapse does not count as recovery", [] {
        test::ScoredClass relapsing = steady("a", 6s, {2700ms, 4s});
        const auto recovery = test::recoveryTime({relapsing}, 2s, 6s, 95);
        CHECK(recovery.has_value());
        CHECK(*recovery >= 1900ms);
    });
    section("no recovery before the end", [] {
        CHECK_FALSE(test::recoveryTime({steady("a", 4s, {2s, 4s})}, 2s, 4s, 95).has_value());
    });
}

TEST(LoadScores, measureATenantAgainstItsFairShare)
{
    section("no share exceeds what its tenant asks for", [] {
        const auto shares = test::fairShares({{10, 1}, {100, 1}, {100, 2}}, 100);
        DOUBLES_EQUAL(10, shares[0], 1e-9);
        DOUBLES_EQUAL(30, shares[1], 1e-9);
        DOUBLES_EQUAL(60, shares[2], 1e-9);
    });
    section("a tenant with half of its calls served is the worst served", [] {
        const std::vector<test::ScoredClass> classes{steady("a", 4s, {}), steady("b", 4s, {0s, 2s})};
        DOUBLES_EQUAL(200.0 / 300, test::worstServed(classes, {0s, 4s}), 1e-9);
    });
    section("refusals by the limit within the declared rate are wrong", [] {
        const auto refusals = test::refusalsWithinRate({steady("a", 4s, {1s, 2s})}, {0s, 4s});
        DOUBLES_EQUAL(0.25, refusals.byLimiter, 1e-9);
    });
    section("resends count for the declared rate", [] {
        test::ScoredClass resending = steady("a", 4s, {1s, 2s});
        std::vector<test::LoadSample> samples = resending.report.samples();
        for (test::LoadSample &sample : samples) {
            sample.attempts = 2;
        }
        resending.report = test::LoadReport("a", samples);
        resending.limitPerSecond = 150;
        DOUBLES_EQUAL(0, test::refusalsWithinRate({resending}, {0s, 4s}).byLimiter, 1e-9);
    });
    section("calls above the declared rate are not counted", [] {
        test::ScoredClass greedy = steady("a", 4s, {1s, 2s});
        greedy.limitPerSecond = 50;
        DOUBLES_EQUAL(0, test::refusalsWithinRate({greedy}, {0s, 4s}).byLimiter, 1e-9);
    });
}
