#include "berylspring/retry/budget.h"
#include "support/section.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using retry::BudgetBounds;
using retry::RetryBudgets;
using test::checkProperty;
using test::section;

namespace {

const core::ServiceId Deep("deep");
constexpr std::uint32_t Excess = 100;

/** @brief Budgets of nodes that have just started, towards one service. */
class Fleet
{
public:
    Fleet(std::optional<std::uint32_t> excess, std::size_t nodes)
        : m_bounds(retry::budgetBounds(excess, nodes))
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            m_nodes.push_back(std::make_unique<RetryBudgets>([this] { return m_bounds; }));
        }
    }

    /** @return Retries that all nodes send while each of their calls fails. */
    std::uint64_t retriesUntilEmpty()
    {
        std::uint64_t retries = 0;
        for (const auto &node : m_nodes) {
            while (node->tryTakeRetry(Deep)) {
                ++retries;
            }
        }
        return retries;
    }
    void succeedAtEach(int count)
    {
        for (const auto &node : m_nodes) {
            for (int i = 0; i < count; ++i) {
                node->onSuccess(Deep);
            }
        }
    }

private:
    BudgetBounds m_bounds;
    std::vector<std::unique_ptr<RetryBudgets>> m_nodes;
};

}

TEST_GROUP(AFleetRestarts){};

// Load pattern: all nodes restart while a service fails. Guards against first budgets that add up to more retries than
// the deployment tolerates, however many nodes there are.
TEST(AFleetRestarts, withinTheToleratedExcess)
{
    for (const std::size_t nodes : {13, 90, 300}) {
        section("at " + std::to_string(nodes) + " nodes", [&] {
            Fleet fleet(Excess, nodes);
            CHECK_TRUE(fleet.retriesUntilEmpty() <= Excess / 2);
            for (int round = 0; round < 20; ++round) {
                fleet.succeedAtEach(10);
                // Ten successes earn one retry at each node.
                LONGS_EQUAL(nodes, fleet.retriesUntilEmpty());
            }
        });
    }
    section("without the setting, each node has 10 retries", [] {
        CHECK_TRUE(retry::budgetBounds(std::nullopt, 300) == BudgetBounds());
        LONGS_EQUAL(3000, Fleet(std::nullopt, 300).retriesUntilEmpty());
    });
    section("a node that does not know the fleet has no first budget",
            [] { LONGS_EQUAL(0, retry::budgetBounds(Excess, 0).firstTenths); });
}

// Guards against rounding that lets the sum of many small shares exceed the excess, or a share exceed the budget of a
// node without the setting.
TEST(AFleetRestarts, withSharesThatAddUpToAtMostHalfOfIt)
{
    checkProperty("the first budgets of all nodes are at most half of the excess", [](std::uint64_t) {
        const auto excess = *rc::gen::inRange<std::uint32_t>(0, 1'000'001);
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 15'001);
        const BudgetBounds bounds = retry::budgetBounds(excess, nodes);
        RC_ASSERT(std::uint64_t{bounds.firstTenths} * nodes <= std::uint64_t{excess} * 10 / 2);
        RC_ASSERT(bounds.firstTenths <= bounds.maxTenths);
        RC_ASSERT(bounds.maxTenths >= 10 && bounds.maxTenths <= 100);
    });
}
