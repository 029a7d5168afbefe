#include "berylspring/core/types.h"
#include "berylspring/node/in_flight_table.h"
#include "support/section.h"

#include <numeric>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;

namespace {

node::InFlight requestWithAllowance(std::uint32_t allowance)
{
    return node::InFlight({.workspace = core::WorkspaceId("w"), .priority = 5, .retryAllowance = allowance});
}

}

TEST_GROUP(ANestedCallInherits)
{
    node::InFlightTable table{core::systemRandom()};
};

TEST(ANestedCallInherits, whatItsTokenStandsForWhileTheRequestRuns)
{
    const std::string token = table.add(requestWithAllowance(2));
    section("the request is found by its token", [&] { CHECK(table.find(token) == requestWithAllowance(2)); });
    section("another token finds nothing", [&] { CHECK_FALSE(table.find(token + "0").has_value()); });
    section("a token expires with its request, so an endpoint cannot use it afterwards", [&] {
        CHECK(table.remove(token).has_value());
        CHECK_FALSE(table.find(token).has_value());
        CHECK_FALSE(table.remove(token).has_value());
    });
}

TEST(ANestedCallInherits, aShareOfTheRetryAllowanceThatIsNeverCountedTwice)
{
    checkProperty("all nested calls together use at most the allowance",
                  [this](std::uint8_t allowance, const std::vector<bool> &spends) {
                      const std::string token = table.add(requestWithAllowance(allowance));
                      std::uint32_t spent = 0;
                      for (const bool spendsAll : spends) {
                          const std::uint32_t reserved = table.reserveRetryAllowance(token);
                          const std::uint32_t used = spendsAll ? reserved : reserved / 2;
                          table.settleRetryAllowance(token, reserved, used);
                          spent += used;
                      }
                      const auto request = table.remove(token);
                      RC_ASSERT(spent <= allowance);
                      RC_ASSERT((*request)->retriesSpent == spent);
                      RC_ASSERT((*request)->retryAllowance + spent == allowance);
                  });
}
