#include "berylspring/retry/budget.h"

#include <algorithm>

namespace berylspring::retry {

RetryBudget RetryBudget::afterSuccess() const noexcept
{
    return RetryBudget(std::min(m_tenths + TenthsPerSuccess, MaxTenths));
}

std::optional<RetryBudget> RetryBudget::afterRetry() const noexcept
{
    return m_tenths < TenthsPerRetry ? std::nullopt : std::optional(RetryBudget(m_tenths - TenthsPerRetry));
}

void RetryBudgets::onSuccess(const core::ServiceId &service)
{
    m_budgets.update(
        service, [](std::optional<RetryBudget> &budget) { budget = budget.value_or(RetryBudget()).afterSuccess(); });
}

bool RetryBudgets::tryTakeRetry(const core::ServiceId &service)
{
    return m_budgets.update(service, [](std::optional<RetryBudget> &budget) {
        const auto after = budget.value_or(RetryBudget()).afterRetry();
        if (after) {
            budget = after;
        }
        return after.has_value();
    });
}

RetryBudget RetryBudgets::budgetOf(const core::ServiceId &service) const
{
    return m_budgets.find(service).value_or(RetryBudget());
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
