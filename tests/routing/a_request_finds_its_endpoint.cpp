#include "berylspring/routing/eligibility.h"
#include "berylspring/routing/router.h"
#include "support/section.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using routing::EndpointView;
using routing::ExclusionReason;
using routing::Router;
using routing::RoutingResult;
using test::checkProperty;
using test::section;

namespace {

const core::TimePoint startTime{1000h};
const core::ServiceId visits("visits");
const core::DataCentreId north("north");
const core::DataCentreId south("south");

EndpointView endpoint(const std::string &host, const core::DataCentreId &dataCentre = north)
{
    routing::EndpointViewFields fields;
    fields.host = core::HostId(host);
    fields.dataCentre = dataCentre;
    fields.service = visits;
    fields.slots = 10;
    fields.reportedAt = startTime;
    fields.firstSeen = startTime - 1h;
    return EndpointView(std::move(fields));
}

routing::RoutingRequest request(core::PriorityLevel priority = 0)
{
    return routing::RoutingRequest{visits, north, priority, {}};
}

Router seededRouter()
{
    auto generator = std::make_shared<std::mt19937_64>(7);
    return Router(routing::RouterHooks{[generator] { return (*generator)(); }});
}

void fail(Router &router, const std::string &host, int times, core::TimePoint now)
{
    for (int i = 0; i < times; ++i) {
        router.started(visits, core::HostId(host), now);
        router.finished(visits, core::HostId(host), RoutingResult::Failed, 5ms, 0, now);
    }
}

std::map<std::string, int>
choices(Router &router, const std::vector<EndpointView> &views, int times, core::TimePoint now)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < times; ++i) {
        const auto decision = router.choose(request(), views, now);
        ++counts[decision.host ? decision.host->value() : ""];
    }
    return counts;
}

}

TEST_GROUP(ARequestFindsItsEndpoint){};

// Guards against a refusal that cannot be explained because the reason of an exclusion is missing or wrong.
TEST(ARequestFindsItsEndpoint, isToldWhyEachOtherOneWasExcluded)
{
    Router router = seededRouter();
    fail(router, "ejected", 5, startTime);
    auto asked = request(2);
    asked.excludedHosts.emplace_back("tried");
    asked.evacuatedDataCentres.emplace_back("south");
    const std::vector<EndpointView> views{
        endpoint("tried"),
        endpoint("evacuated", south).with(&routing::EndpointViewFields::isDraining, true),
        endpoint("dead").with(&routing::EndpointViewFields::isAlive, false),
        endpoint("leaving").with(&routing::EndpointViewFields::isDraining, true),
        endpoint("empty").with(&routing::EndpointViewFields::slots, 0U),
        endpoint("shedding").with(&routing::EndpointViewFields::admittedLevel, core::PriorityLevel{3}),
        endpoint("ejected"),
        endpoint("elsewhere").with(&routing::EndpointViewFields::service, core::ServiceId("payments")),
        endpoint("good")};
    const auto decision = router.choose(asked, views, startTime);
    CHECK(decision.host == core::HostId("good"));
    const std::vector<routing::Exclusion> expected{{core::HostId("tried"), ExclusionReason::Excluded},
                                                   {core::HostId("evacuated"), ExclusionReason::Evacuated},
                                                   {core::HostId("dead"), ExclusionReason::NotAlive},
                                                   {core::HostId("leaving"), ExclusionReason::Draining},
                                                   {core::HostId("empty"), ExclusionReason::NoSlots},
                                                   {core::HostId("shedding"), ExclusionReason::LevelNotAdmitted},
                                                   {core::HostId("ejected"), ExclusionReason::Ejected}};
    CHECK(decision.exclusions == expected);
}

// Guards against requests that cross data centres while a local endpoint has free slots, and against local requests
// that queue while a remote endpoint is idle.
TEST(ARequestFindsItsEndpoint, prefersItsDataCentreUntilThatIsShort)
{
    Router router = seededRouter();
    const std::vector<EndpointView> views{endpoint("near"), endpoint("far", south)};
    section("a local endpoint with free slots gets every request",
            [&] { LONGS_EQUAL(100, choices(router, views, 100, startTime)["near"]); });
    for (int i = 0; i < 11; ++i) {
        router.started(visits, core::HostId("near"), startTime);
    }
    section("when it is full, requests go to the other data centre",
            [&] { LONGS_EQUAL(100, choices(router, views, 100, startTime)["far"]); });
    section("without a local endpoint they go there too", [&] {
        const std::vector<EndpointView> far{endpoint("far", south)};
        LONGS_EQUAL(100, choices(router, far, 100, startTime)["far"]);
    });
}

// Guards against routing by outdated load reports.
TEST(ARequestFindsItsEndpoint, discountsAnOldReport)
{
    const auto busy = endpoint("busy").with(&routing::EndpointViewFields::reportedLoad, 8.0);
    const routing::Candidate candidate{&busy, nullptr};
    DOUBLES_EQUAL(0.8, routing::loadShare(candidate, {}, startTime), 1e-9);
    DOUBLES_EQUAL(0.4, routing::loadShare(candidate, {}, startTime + 250ms), 1e-9);
    CHECK(routing::loadShare(candidate, {}, startTime + 10s) < 1e-6);
}

// Guards against a report that is stuck at idle and attracts all traffic to a slow endpoint.
TEST(ARequestFindsItsEndpoint, trustsTheHigherOfTwoReports)
{
    const auto stuck = endpoint("stuck");
    auto traffic = routing::EndpointTraffic().withStarted();
    traffic = traffic.withFinished(RoutingResult::Ok, 5ms, 8, startTime - 250ms);
    DOUBLES_EQUAL(0.4, routing::loadShare({&stuck, &traffic}, {}, startTime), 1e-9);
    const auto busy = endpoint("busy").with(&routing::EndpointViewFields::reportedLoad, 9.0);
    DOUBLES_EQUAL(0.9, routing::loadShare({&busy, &traffic}, {}, startTime), 1e-9);
}

// Guards against sending a cold endpoint its full share at once, which fails the first requests.
TEST(ARequestFindsItsEndpoint, warmsUpANewEndpoint)
{
    Router router = seededRouter();
    const std::vector<EndpointView> views{endpoint("old"),
                                          endpoint("new").with(&routing::EndpointViewFields::firstSeen, startTime)};
    for (int i = 0; i < 4; ++i) {
        router.started(visits, core::HostId("old"), startTime);
    }
    // Scores: (4 + 1) / 10 for "old", and 1 / 10 / weight for "new", whose weight grows from 0 to 1 in 5 s.
    LONGS_EQUAL(100, choices(router, views, 100, startTime + 900ms)["old"]);
    LONGS_EQUAL(100, choices(router, views, 100, startTime + 1100ms)["new"]);
}

// Guards against an endpoint that keeps failing and gets as many requests after each ejection.
TEST(ARequestFindsItsEndpoint, leavesABadEndpointForLongerEachTime)
{
    Router router = seededRouter();
    const std::vector<EndpointView> views{endpoint("bad"), endpoint("good")};
    core::TimePoint now = startTime;
    for (const auto ejection : {1s, 2s, 4s, 8s, 16s, 30s, 30s}) {
        fail(router, "bad", 5, now);
        LONGS_EQUAL(100, choices(router, views, 100, now + ejection - 1ms)["good"]);
        now += ejection;
        CHECK(choices(router, views, 100, now + 10s)["bad"] > 0);
    }
    section("refusals do not count as failures", [&] {
        for (int i = 0; i < 50; ++i) {
            router.started(visits, core::HostId("good"), now);
            router.finished(visits, core::HostId("good"), RoutingResult::Refused, 1ms, 0, now);
        }
        CHECK_FALSE(router.traffic(visits, core::HostId("good")).ejection().isEjected(now));
    });
    section("eleven failures among twenty results eject, without five in a row", [&] {
        const std::string pattern = "ffffoffffoffooooooof";
        LONGS_EQUAL(20, pattern.size());
        for (const char result : pattern) {
            CHECK_FALSE(router.traffic(visits, core::HostId("mixed")).ejection().isEjected(now));
            router.started(visits, core::HostId("mixed"), now);
            const auto outcome = result == 'f' ? RoutingResult::Failed : RoutingResult::Ok;
            router.finished(visits, core::HostId("mixed"), outcome, 1ms, 0, now);
        }
        CHECK(router.traffic(visits, core::HostId("mixed")).ejection().isEjected(now));
    });
}

// Guards against an outage caused by the ejection itself: when a dependency fails, every endpoint has failures.
TEST(ARequestFindsItsEndpoint, ejectsAtMostHalfOfTheEndpoints)
{
    checkProperty("ejected share is capped", [](const std::vector<bool> &bad) {
        RC_PRE(!bad.empty());
        Router router = seededRouter();
        std::vector<EndpointView> views;
        for (std::size_t i = 0; i < bad.size(); ++i) {
            const auto host = "h" + std::to_string(i);
            views.push_back(endpoint(host));
            fail(router, host, bad[i] ? 5 : 0, startTime);
        }
        const auto decision = router.choose(request(), views, startTime);
        const auto failing = static_cast<std::size_t>(std::count(bad.begin(), bad.end(), true));
        RC_ASSERT(decision.exclusions.size() == std::min(failing, bad.size() / 2));
        RC_ASSERT(decision.host.has_value());
        const auto isChosen = [&](const auto &exclusion) { return exclusion.host == *decision.host; };
        RC_ASSERT(std::none_of(decision.exclusions.begin(), decision.exclusions.end(), isChosen));
    });
}

// Guards against choosing an excluded endpoint, and against refusing while an eligible one is left.
TEST(ARequestFindsItsEndpoint, choosesOnlyEligibleOnes)
{
    checkProperty("the chosen one has no exclusion and exists unless all are excluded",
                  [](const std::vector<std::pair<bool, bool>> &states, core::PriorityLevel level) {
                      Router router = seededRouter();
                      std::vector<EndpointView> views;
                      std::size_t usable = 0;
                      for (std::size_t i = 0; i < states.size(); ++i) {
                          const bool admits = i % 2 == 0 || level % 8 <= 3;
                          usable += states[i].first && !states[i].second && admits ? 1U : 0U;
                          views.push_back(endpoint("h" + std::to_string(i))
                                              .with(&routing::EndpointViewFields::isAlive, states[i].first)
                                              .with(&routing::EndpointViewFields::isDraining, states[i].second)
                                              .with(&routing::EndpointViewFields::admittedLevel,
                                                    static_cast<core::PriorityLevel>(i % 2 == 0 ? 0 : level % 8)));
                      }
                      const auto decision = router.choose(request(3), views, startTime);
                      RC_ASSERT(decision.host.has_value() == (usable > 0));
                      RC_ASSERT(decision.exclusions.size() == states.size() - usable);
                  });
}
