#include "berylspring/routing/router.h"
#include "support/section.h"

#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using routing::EndpointView;
using routing::EndpointViewFields;
using routing::ExclusionReason;
using routing::RouteExplanation;
using routing::Router;
using routing::RoutingPolicy;
using routing::RoutingResult;
using test::section;

namespace {

const core::TimePoint startTime{1000h};
const core::ServiceId visits("visits");
const core::DataCentreId north("north");
const core::DataCentreId south("south");

EndpointView endpoint(const std::string &host, const core::DataCentreId &dataCentre = north)
{
    return EndpointView({.host = core::HostId(host),
                         .dataCentre = dataCentre,
                         .service = visits,
                         .slots = 4,
                         .reportedAt = startTime,
                         .firstSeen = startTime - 1h});
}

routing::RoutingRequest request()
{
    return {.service = visits, .dataCentre = north, .priority = 1};
}

void answer(Router &router, const std::string &host, core::Duration serviceTime, double pace)
{
    const core::HostId id(host);
    const double cost = router.started(visits, id, startTime);
    router.finished(visits,
                    id,
                    RoutingResult::Ok,
                    serviceTime,
                    0,
                    startTime,
                    {.expectedCost = cost, .serviceTime = serviceTime, .hasAnswer = true, .pace = pace});
}

const routing::EndpointExplanation &find(const RouteExplanation &explanation, const std::string &host)
{
    for (const auto &entry : explanation.endpoints) {
        if (entry.host.value() == host) {
            return entry;
        }
    }
    FAIL(("no endpoint " + host).c_str());
    return explanation.endpoints.front();
}

}

TEST_GROUP(ARouteIsExplained)
{
    int drawn = 0;

    Router router(RoutingPolicy policy = RoutingPolicy::Auto)
    {
        return Router({.random =
                           [this, generator = std::mt19937_64(7)]() mutable {
                               ++drawn;
                               return generator();
                           }},
                      {.policy = policy});
    }
};

// Load: two endpoints on each side, of which one has requests in flight. Guards against an explanation that differs
// from the decision. Two endpoints of a side are always both compared, so that the decision is certain.
TEST(ARouteIsExplained, asItIsDecided)
{
    const std::vector<EndpointView> views{endpoint("n1"), endpoint("n2"), endpoint("s1", south), endpoint("s2", south)};
    for (const RoutingPolicy policy : {RoutingPolicy::Load, RoutingPolicy::Cost}) {
        Router router = this->router(policy);
        std::mt19937_64 events(11);
        for (int i = 0; i < 200; ++i) {
            const RouteExplanation explanation = router.explain(request(), views, startTime);
            const core::HostId host = router.choose(request(), views, startTime).host.value();
            // With equal figures either one may be drawn first.
            DOUBLES_EQUAL(
                find(explanation, host.value()).figure, find(explanation, explanation.chosen->value()).figure, 1e-12);
            (void)router.started(visits, host, startTime);
            if (events() % 4 == 0) {
                answer(router, views[events() % 4]->host.value(), std::chrono::milliseconds(1 + events() % 50), 0);
            }
        }
        const RouteExplanation explanation = router.explain(request(), views, startTime);
        CHECK_TRUE(explanation.isByCost == (policy == RoutingPolicy::Cost));
        LONGS_EQUAL(policy == RoutingPolicy::Cost ? 3 : 2, explanation.compared);
        CHECK_TRUE(find(explanation, "n1").inFlight > 0);
    }
}

// Guards against a reason that the router does not act on.
TEST(ARouteIsExplained, withTheReasonOfEachExclusion)
{
    Router router = this->router();
    const std::vector<EndpointView> views{
        endpoint("n1"),
        endpoint("n2").with(&EndpointViewFields::isDraining, true),
        endpoint("n3").with(&EndpointViewFields::admittedLevel, core::PriorityLevel{2}),
        endpoint("n4").with(&EndpointViewFields::coldRate, 0.1),
        endpoint("s1", south)};
    const RouteExplanation explanation = router.explain(request(), views, startTime);
    LONGS_EQUAL(5, explanation.endpoints.size());
    CHECK_TRUE(!find(explanation, "n1").exclusion);
    CHECK_TRUE(find(explanation, "n2").exclusion == ExclusionReason::Draining);
    CHECK_TRUE(find(explanation, "n3").exclusion == ExclusionReason::LevelNotAdmitted);
    CHECK_TRUE(!find(explanation, "n4").exclusion && find(explanation, "n4").isBeyondColdShare);
    CHECK_TRUE(explanation.bestLocal == core::HostId("n1"));
    CHECK_TRUE(explanation.bestRemote == core::HostId("s1"));
    CHECK_TRUE(explanation.chosen == core::HostId("n1"));
    section("asked as if in the other data centre", [&] {
        routing::RoutingRequest elsewhere = request();
        elsewhere.dataCentre = south;
        CHECK_TRUE(router.explain(elsewhere, views, startTime).chosen == core::HostId("s1"));
    });
}

// Guards against a question that changes later decisions: by a random number, a cold share or the policy.
TEST(ARouteIsExplained, withoutAChangeOfState)
{
    Router asked = router();
    Router other = router();
    const std::vector<EndpointView> views{endpoint("n1").with(&EndpointViewFields::coldRate, 5.0), endpoint("n2")};
    for (int i = 0; i < 500; ++i) {
        const core::TimePoint now = startTime + i * 20ms;
        const int before = drawn;
        const RouteExplanation explanation = asked.explain(request(), views, now);
        CHECK_TRUE(explanation == asked.explain(request(), views, now));
        LONGS_EQUAL(before, drawn);
        CHECK_TRUE(asked.choose(request(), views, now) == other.choose(request(), views, now));
    }
}

// Guards against the failure of an answer about an endpoint that leaves while it is given.
TEST(ARouteIsExplained, afterAnEndpointHasLeft)
{
    Router router = this->router();
    const std::vector<EndpointView> views{endpoint("n1"), endpoint("n2")};
    answer(router, "n1", 10ms, 1);
    answer(router, "n2", 30ms, 1);
    CHECK_TRUE(router.explain(request(), views, startTime).chosen == core::HostId("n1"));
    section("between the view and the question, it has no statistics any more", [&] {
        router.forget(visits, core::HostId("n1"));
        const RouteExplanation explanation = router.explain(request(), views, startTime);
        DOUBLES_EQUAL(1, find(explanation, "n1").slowness, 1e-9);
        CHECK_TRUE(!find(explanation, "n1").outstandingAge);
        CHECK_TRUE(find(explanation, "n2").outstandingAge == core::Duration::zero());
    });
    section("before the view, it is not listed", [&] {
        const std::vector<EndpointView> left{endpoint("n2")};
        LONGS_EQUAL(1, router.explain(request(), left, startTime).endpoints.size());
    });
    section("the last one, nothing is chosen",
            [&] { CHECK_TRUE(!router.explain(request(), {}, startTime).chosen.has_value()); });
}
