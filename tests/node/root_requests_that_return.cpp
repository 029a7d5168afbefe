#include "berylspring/node/root_control.h"
#include "support/section.h"

#include <memory>
#include <optional>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using node::ReturnTimes;
using node::RootControl;
using node::RootRefusal;
using test::section;

namespace {

const node::CallPlan Plan({.route = core::RouteId("visit"),
                           .service = core::ServiceId("visits"),
                           .workspace = core::WorkspaceId("w"),
                           .priority = 5,
                           .timeout = 9s});
const core::Refusal QueueFull =
    core::Refusal(core::RefusalReason::Overloaded, core::Outcome::NotRun, "queue").withRetryAfter(1s);

/** @brief The roots of an entry whose endpoint answers under the highest pressure, and reports its pace or not. */
struct Overload
{
    explicit Overload(ReturnTimes mode, core::RandomSource random = core::systemRandom())
        : control({.returnTimes = mode}, std::move(random))
    {
    }

    RootControl control;
    core::TimePoint now{1h};
    int next = 0;

    http::CallerRequest request()
    {
        return http::CallerRequest({.method = "GET", .target = "/visits/" + std::to_string(next++)});
    }
    /** Sends requests for 5 s, of which most are shed in the end. Their callers have no time for a return. */
    void begin(double pace)
    {
        for (int i = 0; i < 1000; ++i) {
            now += 5ms;
            if (!control.admit(request(), Plan.with(&node::CallPlanFields::timeout, 50ms), now)) {
                const wire::CallResponse response({.status = 200, .pressure = 4, .pace = pace});
                control.recordPace(response, now);
                // The latency rises, so that the route counts as one that reaches the bottleneck.
                control.recordResult(Plan, response, i < 10 ? 10ms : 200ms, now);
            }
        }
    }
    RootRefusal refuse()
    {
        constexpr int MaxTries = 1000;
        for (int i = 0; i < MaxTries; ++i) {
            if (const std::optional<RootRefusal> refusal = control.admit(request(), Plan, now)) {
                return *refusal;
            }
        }
        FAIL("no request is shed");
        return {QueueFull};
    }
    RootRefusal refuseFurtherOn()
    {
        return control.withReturnTime(QueueFull, request(), Plan, 9s, now);
    }
};

void checkConstant(const RootRefusal &refusal)
{
    CHECK_FALSE(refusal.isPromised);
    CHECK_TRUE(refusal.refusal.retryAfter() >= 700ms && refusal.refusal.retryAfter() < 1400ms);
}

}

TEST_GROUP(RootRequestsThatReturn){};

// Load pattern: sustained overload behind the first service. Guards against times to return in deployments whose
// endpoints do not report their pace.
TEST(RootRequestsThatReturn, areToldConstantTimesUnlessTheirDeploymentCallsForMore)
{
    section("off", [] {
        Overload overload(ReturnTimes::Off);
        overload.begin(1);
        checkConstant(overload.refuse());
        CHECK_TRUE(overload.refuseFurtherOn() == RootRefusal{QueueFull});
    });
    section("auto, without a reported pace", [] {
        Overload overload(ReturnTimes::Auto);
        overload.begin(0);
        checkConstant(overload.refuse());
        CHECK_TRUE(overload.refuseFurtherOn() == RootRefusal{QueueFull});
    });
    section("auto, while a pace is reported and some seconds after", [] {
        Overload overload(ReturnTimes::Auto);
        overload.begin(1);
        CHECK_TRUE(overload.refuse().isPromised);
        overload.now += 11s;
        CHECK_TRUE(overload.refuseFurtherOn() == RootRefusal{QueueFull});
    });
}

// Load pattern: callers of an overloaded service come back at the told time. Guards against a promise that is made but
// not kept.
TEST(RootRequestsThatReturn, areAdmittedAtThePromisedTime)
{
    Overload overload(ReturnTimes::On);
    overload.begin(0);
    section("after a refusal at the entry or further on", [&] {
        const http::CallerRequest visit = overload.request();
        const RootRefusal refusal = overload.control.withReturnTime(QueueFull, visit, Plan, 9s, overload.now);
        CHECK_TRUE(refusal.isPromised);
        CHECK_FALSE(overload.control.admit(visit, Plan, overload.now + *refusal.refusal.retryAfter()).has_value());
        LONGS_EQUAL(1, overload.control.returns().promised);
        LONGS_EQUAL(1, overload.control.returns().admitted);
    });
    section("other refusals keep their time", [&] {
        const core::Refusal other(core::RefusalReason::NoEndpoint, core::Outcome::NotRun);
        CHECK_TRUE(overload.control.withReturnTime(other, overload.request(), Plan, 9s, overload.now)
                   == RootRefusal{other});
    });
}

// Load pattern: sustained overload behind the first service. Guards against an explained share that differs from the
// one that is shed, and against a question that changes later decisions.
TEST(RootRequestsThatReturn, areShedInTheShareThatIsExplained)
{
    constexpr int Requests = 4000;
    const auto seeded = [] { return [generator = std::make_shared<std::mt19937_64>(7)] { return (*generator)(); }; };
    Overload asked(ReturnTimes::Off, seeded());
    Overload other(ReturnTimes::Off, seeded());
    DOUBLES_EQUAL(0, asked.control.shedShare(Plan, "GET", asked.now), 0);
    asked.begin(0);
    other.begin(0);
    const double share = asked.control.shedShare(Plan, "GET", asked.now);
    CHECK_TRUE(share > 0.2 && share < 1);
    int shed = 0;
    for (int i = 0; i < Requests; ++i) {
        const bool isShed = asked.control.admit(asked.request(), Plan, asked.now).has_value();
        shed += isShed ? 1 : 0;
        DOUBLES_EQUAL(share, asked.control.shedShare(Plan, "GET", asked.now), 1e-9);
        CHECK_TRUE(isShed == other.control.admit(other.request(), Plan, other.now).has_value());
    }
    // Five standard deviations of the number of shed requests are below 4 %.
    DOUBLES_EQUAL(share, static_cast<double>(shed) / Requests, 0.04);
    section("not at all with the controls off", [&] {
        RootControl off({.areControlsOn = false}, core::systemRandom());
        DOUBLES_EQUAL(0, off.shedShare(Plan, "GET", asked.now), 0);
    });
}
