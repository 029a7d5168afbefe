#include "berylspring/routing/router.h"
#include "support/section.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using routing::EndpointView;
using routing::Router;
using test::section;

namespace {

const core::TimePoint startTime{1000h};
const core::ServiceId visits("visits");
constexpr double ColdRate = 16;

EndpointView endpoint(const std::string &host, const std::string &dataCentre = "north", double coldRate = 0)
{
    return EndpointView({.host = core::HostId(host),
                         .dataCentre = core::DataCentreId(dataCentre),
                         .service = visits,
                         .slots = 10,
                         .reportedAt = startTime,
                         .coldRate = coldRate,
                         .firstSeen = startTime - 1h});
}

routing::RoutingRequest requestOf(std::size_t liveNodes)
{
    return {.service = visits, .dataCentre = core::DataCentreId("north"), .liveNodes = liveNodes};
}

/** @brief Highest number of times in any window of one second. */
std::size_t mostInASecond(const std::vector<core::TimePoint> &times)
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto last = std::upper_bound(first, times.end(), *first + 1s);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

}

TEST_GROUP(AColdEndpointIsShared)
{
    std::mt19937_64 random{7};
    int draws = 0;
    core::TimePoint now = startTime;

    routing::RouterHooks hooks()
    {
        return {.random = [this] {
            ++draws;
            return random();
        }};
    }
    std::string choose(Router & router, const std::vector<EndpointView> &views, std::size_t liveNodes)
    {
        return router.choose(requestOf(liveNodes), views, now).host->value();
    }
};

// Guards against 96 entries that together send one cold endpoint among seven a multiple of its rate: 2,000 requests a
// second, of which it would get a seventh.
TEST(AColdEndpointIsShared, byNinetySixEntries)
{
    constexpr std::size_t Entries = 96;
    constexpr int PerSecond = 2000;
    std::deque<Router> routers;
    for (std::size_t i = 0; i < Entries; ++i) {
        routers.emplace_back(hooks());
    }
    std::vector<EndpointView> views{endpoint("c", "north", ColdRate)};
    for (const char *host : {"h1", "h2", "h3", "h4", "h5", "h6"}) {
        views.push_back(endpoint(host));
    }
    std::vector<core::TimePoint> sent;
    const core::Duration length = 30s;
    while (now < startTime + length) {
        if (choose(routers[random() % Entries], views, Entries) == "c") {
            sent.push_back(now);
        }
        now += core::Duration(1s) / PerSecond;
    }
    section("no second holds more than the deployment tolerates: 16 x 1.5 + 8",
            [&] { CHECK(mostInASecond(sent) <= 32); });
    section("it gets its rate, so that no capacity is wasted", [&] {
        CHECK(sent.size() <= ColdRate * 30 + Entries);
        CHECK(sent.size() >= ColdRate * 30 * 0.8);
    });
    section("as soon as it is warm, it gets as much as the others", [&] {
        views.front() = endpoint("c");
        int warm = 0;
        for (int i = 0; i < PerSecond; ++i) {
            warm += choose(routers[random() % Entries], views, Entries) == "c" ? 1 : 0;
        }
        CHECK(warm >= PerSecond / 7 * 3 / 4);
    });
}

// Guards against requests to a cold endpoint beyond the share while another one could take them, and against requests
// without any endpoint when all are cold at once.
TEST(AColdEndpointIsShared, beyondItOnlyIfThereIsNoOther)
{
    Router router(hooks());
    std::vector<EndpointView> views{endpoint("c1", "north", ColdRate), endpoint("c2", "north", ColdRate)};
    section("all are cold: the node of the endpoint decides", [&] {
        for (int i = 0; i < 10; ++i) {
            CHECK(router.choose(requestOf(96), views, now).host.has_value());
        }
    });
    section("a warm one in another data centre is preferred", [&] {
        views.push_back(endpoint("far", "south"));
        int far = 0;
        for (int i = 0; i < 100; ++i) {
            far += choose(router, views, 96) == "far" ? 1 : 0;
        }
        CHECK(far >= 98);
    });
    section("unless an earlier attempt went there", [&] {
        auto request = requestOf(96);
        request.excludedHosts = {core::HostId("far")};
        CHECK(router.choose(request, views, now).host != core::HostId("far"));
    });
    section("the share fills up with time", [&] {
        now += 6s;
        CHECK(choose(router, views, 96) != "far");
        CHECK(choose(router, views, 96) != "far");
        CHECK(choose(router, views, 96) == "far");
    });
}

// Guards against other decisions than before where no endpoint is cold.
TEST(AColdEndpointIsShared, withoutEffectOnWarmOnes)
{
    Router router(hooks());
    CHECK(!choose(router, {endpoint("h1"), endpoint("h2")}, 96).empty());
    LONGS_EQUAL(2, draws);
}
