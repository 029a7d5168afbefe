#include "berylspring/retry/budget.h"

#include <algorithm>
#include <utility>

namespace berylspring::retry {

namespace {

/** The rest of the tolerated excess is left to nodes that count fewer live nodes than there are. */
constexpr std::uint64_t ExcessDivisor = 2;

}

BudgetBounds budgetBounds(std::optional<std::uint32_t> excess, std::size_t liveNodes) noexcept
{
    if (!excess) {
        return {};
    }
    const std::uint64_t ofFleet = std::uint64_t{*excess} * RetryBudget::TenthsPerRetry / ExcessDivisor;
    const std::uint64_t share = liveNodes == 0 ? 0 : ofFleet / liveNodes;
    const auto first = static_cast<std::uint32_t>(std::min<std::uint64_t>(share, RetryBudget::MaxTenths));
    return {.firstTenths = first, .maxTenths = std::max(first, RetryBudget::TenthsPerRetry)};
}

RetryBudget RetryBudget::afterSuccess(const BudgetBounds &bounds) const noexcept
{
    return RetryBudget(std::min(m_tenths + TenthsPerSuccess, bounds.maxTenths));
}

std::optional<RetryBudget> RetryBudget::afterRetry(const BudgetBounds &bounds) const noexcept
{
    const std::uint32_t tenths = std::min(m_tenths, bounds.maxTenths);
    return tenths < TenthsPerRetry ? std::nullopt : std::optional(RetryBudget(tenths - TenthsPerRetry));
}

RetryBudgets::RetryBudgets(std::function<BudgetBounds()> bounds)
    : m_bounds(std::move(bounds))
{
}

BudgetBounds RetryBudgets::bounds() const
{
    return m_bounds ? m_bounds() : BudgetBounds();
}

void RetryBudgets::onSuccess(const core::ServiceId &service)
{
    // Asked before the lock of the shard is taken, since it is a hook.
    const BudgetBounds bounds = this->bounds();
    m_budgets.update(service, [&](std::optional<RetryBudget> &budget) {
        budget = budget.value_or(RetryBudget(bounds)).afterSuccess(bounds);
    });
}

bool RetryBudgets::tryTakeRetry(const core::ServiceId &service)
{
    const BudgetBounds bounds = this->bounds();
    return m_budgets.update(service, [&](std::optional<RetryBudget> &budget) {
        const auto after = budget.value_or(RetryBudget(bounds)).afterRetry(bounds);
        if (after) {
            budget = after;
        }
        return after.has_value();
    });
}

RetryBudget RetryBudgets::budgetOf(const core::ServiceId &service) const
{
    return m_budgets.find(service).value_or(RetryBudget(bounds()));
}

void RetryBudgets::forget(const core::ServiceId &service)
{
    m_budgets.erase(service);
}

std::size_t RetryBudgets::size() const
{
    return m_budgets.size();
}

}
