#include "berylspring/routing/weighted_splitter.h"
#include "support/section.h"

#include <cmath>
#include <map>
#include <numeric>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;

namespace {

const core::RouteId TheRoute("route");

std::map<std::string, int>
countsOf(routing::WeightedSplitter &splitter, const std::vector<config::ServiceShare> &shares, int requests)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < requests; ++i) {
        ++counts[splitter.choose(TheRoute, shares).value()];
    }
    return counts;
}

}

TEST_GROUP(ARouteIsDivided){};

// Guards against a distribution that matches the weights only on average over many requests.
TEST(ARouteIsDivided, inProportionToTheWeights)
{
    checkProperty("each service is less than one request per service off its share", [] {
        const auto weights =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(1U, 100U)));
        RC_PRE(weights.size() <= 6U);
        std::vector<config::ServiceShare> shares;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            shares.push_back({core::ServiceId("s" + std::to_string(i)), weights[i]});
        }
        const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
        const int requests = *rc::gen::inRange(1, 400);
        routing::WeightedSplitter splitter;
        auto counts = countsOf(splitter, shares, requests);
        for (const config::ServiceShare &share : shares) {
            const double exact = requests * share.weight / sum;
            RC_ASSERT(std::abs(counts[share.service.value()] - exact) < static_cast<double>(shares.size()));
        }
    });
}

// Guards against credits that outlast a change of the weights and send requests to a service without weight.
TEST(ARouteIsDivided, anewWhenTheWeightsChange)
{
    routing::WeightedSplitter splitter;
    const std::vector<config::ServiceShare> before{{core::ServiceId("a"), 9}, {core::ServiceId("b"), 1}};
    const std::vector<config::ServiceShare> after{{core::ServiceId("a"), 0}, {core::ServiceId("c"), 1}};
    LONGS_EQUAL(90, countsOf(splitter, before, 100)["a"]);
    section("a service without weight gets nothing", [&] { LONGS_EQUAL(100, countsOf(splitter, after, 100)["c"]); });
}
