#include "berylspring/node/stop_schedule.h"
#include "node/entry_harness.h"
#include "support/section.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::DenialStaleness;
using test::EntryHarness;
using test::section;
using test::Withdrawn;

namespace {

using core::Outcome;
using core::RefusalReason;

http::CallerRequest booking(const std::string &target, std::optional<std::string> key, std::optional<std::string> name)
{
    return http::CallerRequest(
        {.method = "POST", .target = target, .key = std::move(key), .idempotencyKey = std::move(name)});
}

}

TEST_GROUP(ARefusalAtTheEntry){};

// Guards against not-run for a resend although another node has run an earlier send with the same idempotency key.
TEST(ARefusalAtTheEntry, saysNotRunOnlyIfNoSendOfTheNameCanHaveRun)
{
    EntryHarness entry(test::catalogueWithRoutes());
    section("a key that was withdrawn after an earlier send", [&] {
        const auto refusal = entry.refusalOf(booking("/visits", Withdrawn, "b-1"));
        CHECK(refusal.reason() == RefusalReason::KeyInvalid);
        CHECK(refusal.outcome() == Outcome::Unknown);
    });
    section("a route that was removed",
            [&] { CHECK(entry.refusalOf(booking("/gone", "key", "b-1")).outcome() == Outcome::Unknown); });
    section("a node without configuration", [&] {
        EntryHarness fresh(std::nullopt);
        CHECK(fresh.refusalOf(booking("/visits", "key", "b-1")).outcome() == Outcome::Unknown);
        CHECK(fresh.refusalOf(booking("/visits", "key", std::nullopt)).outcome() == Outcome::NotRun);
    });
    section("a key that never existed, and no key", [&] {
        CHECK(entry.refusalOf(booking("/visits", "wrong", "b-1")).outcome() == Outcome::NotRun);
        CHECK(entry.refusalOf(booking("/visits", std::nullopt, "b-1")).outcome() == Outcome::NotRun);
    });
    section("a request without an idempotency key",
            [&] { CHECK(entry.refusalOf(booking("/visits", Withdrawn, std::nullopt)).outcome() == Outcome::NotRun); });
}

// Guards against a proper request that is ended for good by a node whose configuration is too old to know its key or
// route.
TEST(ARefusalAtTheEntry, isNoDenialIfTheConfigurationIsOld)
{
    EntryHarness entry(test::catalogueWithRoutes());
    const auto reasonOf = [&](const std::string &target, std::optional<std::string> key) {
        return entry.refusalOf(booking(target, std::move(key), std::nullopt)).reason();
    };
    section("a recent configuration denies what it does not know", [&] {
        entry.configurationAge = DenialStaleness;
        CHECK(reasonOf("/added", "key") == RefusalReason::RouteUnknown);
        CHECK(reasonOf("/visits", "added") == RefusalReason::KeyInvalid);
        CHECK(reasonOf("/visits", std::nullopt) == RefusalReason::KeyMissing);
    });
    entry.configurationAge = DenialStaleness + std::chrono::milliseconds(1);
    section("an older one tells the caller to come back", [&] {
        CHECK(reasonOf("/added", "key") == RefusalReason::NotReady);
        CHECK(reasonOf("/visits", "added") == RefusalReason::NotReady);
        CHECK(reasonOf("/visits", std::nullopt) == RefusalReason::NotReady);
        const auto refusal = entry.refusalOf(booking("/added", "key", std::nullopt));
        CHECK(refusal.outcome() == Outcome::NotRun);
        CHECK(refusal.retryAfter().has_value());
    });
    section("a withdrawn key never becomes valid again, so it is denied at any age",
            [&] { CHECK(reasonOf("/visits", Withdrawn) == RefusalReason::KeyInvalid); });
}

// Guards against requests that a stopping node passes on and then cuts because they outlast its stop.
TEST(ARefusalAtTheEntry, turnsAwayWhatCannotEndBeforeTheStop)
{
    using namespace std::chrono_literals;
    EntryHarness entry(test::catalogueWithRoutes());
    const auto refusalAt = [&](core::Duration sinceStop, core::Duration timeout) {
        entry.now = core::TimePoint() + sinceStop;
        return entry.refusalOf(booking("/prices", std::nullopt, std::nullopt)
                                   .with(&http::CallerRequestFields::timeout, std::optional<core::Duration>(timeout)));
    };
    entry.stopSchedule = node::StopSchedule(core::TimePoint(), 2s, 5s);
    section("while callers are leaving, each request is passed on",
            [&] { CHECK(refusalAt(1999ms, 5s).reason() == RefusalReason::NoEndpoint); });
    section("later, a request that may outlast the stop is refused as not run, with a time to come back", [&] {
        const core::Refusal refusal = refusalAt(2s, 3001ms);
        CHECK(refusal.reason() == RefusalReason::Draining);
        CHECK(refusal.outcome() == Outcome::NotRun);
        CHECK(refusal.retryAfter().has_value());
    });
    section("a request that ends before the stop is passed on", [&] {
        CHECK(refusalAt(2s, 3s).reason() == RefusalReason::NoEndpoint);
        CHECK(refusalAt(4s, 500ms).reason() == RefusalReason::NoEndpoint);
    });
    section("a node that does not stop passes on all", [&] {
        entry.stopSchedule.reset();
        CHECK(refusalAt(10s, 1h).reason() == RefusalReason::NoEndpoint);
    });
}

// Guards against nested calls that a stopping node passes on until its end and then cuts while their endpoint is at
// work.
TEST(ARefusalAtTheEntry, turnsAwayNestedCallsThatCannotEndBeforeTheStop)
{
    using namespace std::chrono_literals;
    EntryHarness entry(test::catalogueWithRoutes());
    const auto callAt = [&](core::Duration sinceStop) {
        entry.now = core::TimePoint() + sinceStop;
        return entry.call(booking("/ledger", std::nullopt, std::nullopt)
                              .with(&http::CallerRequestFields::timeout, std::optional<core::Duration>(2s)));
    };
    entry.stopSchedule = node::StopSchedule(core::TimePoint(), 2s, 5s);
    section("a call of unknown length is passed on only if its timeout ends before the stop", [&] {
        CHECK(callAt(2s)->refusal->reason() == RefusalReason::NoEndpoint);
        const wire::CallResponse late = callAt(3s);
        CHECK(late->refusal->reason() == RefusalReason::Draining);
        CHECK(late->refusal->outcome() == Outcome::NotRun);
    });
    section("one that is known to be short is passed on with the time that is left", [&] {
        entry.callTime = 400ms;
        for (int i = 0; i < 20; ++i) {
            LONGS_EQUAL(200, callAt(0s)->status);
        }
        LONGS_EQUAL(200, callAt(4s)->status);
        CHECK(entry.lastRemaining < 1s);
    });
    section("an endpoint whose work takes longer ends it by itself and answers before the abort", [&] {
        LONGS_EQUAL(200, callAt(4s)->status);
        CHECK(entry.lastAnswerGrace >= 200ms);
        CHECK(4s + entry.lastRemaining + entry.lastAnswerGrace < 5s);
    });
    section("but not so late that it would be cut",
            [&] { CHECK(callAt(4700ms)->refusal->reason() == RefusalReason::Draining); });
    section("a node that does not stop passes on all", [&] {
        entry.stopSchedule.reset();
        LONGS_EQUAL(200, callAt(10s)->status);
        CHECK(entry.lastRemaining == 2s);
        CHECK(entry.lastAnswerGrace == core::Duration::zero());
    });
}
