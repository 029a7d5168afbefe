#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace berylspring::retry {

/** @brief Bounds of the budgets of one node, in tenths of a retry. The default is the whole budget of RetryBudget. */
struct BudgetBounds
{
    std::uint32_t firstTenths = 100; ///< Budget of a service before its first success.
    std::uint32_t maxTenths = 100;
    [[nodiscard]] bool operator==(const BudgetBounds &) const = default;
};

/**
 * @brief Bounds the retries of a whole fleet that restarts.
 *
 * Half of the excess is divided among the live nodes as their first budgets. A budget may still grow to one retry by
 * successes, since it could never be used otherwise. The retries of the fleet since its restart thus stay within half
 * of the excess and a tenth of the successes; the other half is left for nodes that do not see all members yet.
 * @param excess Retries to a service beyond a tenth of its successes that the deployment tolerates; empty: unbounded.
 * @param liveNodes Live nodes of the fleet, this one included; 0 if unknown, which gives no first budget.
 */
[[nodiscard]] BudgetBounds budgetBounds(std::optional<std::uint32_t> excess, std::size_t liveNodes) noexcept;

/**
 * @brief Retry budget of one service: successes add to it, retries take from it.
 *
 * Counts in integer tenths of a token, which avoids rounding errors that depend on the order of operations.
 */
class RetryBudget
{
public:
    static constexpr std::uint32_t TenthsPerSuccess = 1; ///< A tenth of a retry, so that retries add at most 10% load.
    static constexpr std::uint32_t TenthsPerRetry = 10;
    static constexpr std::uint32_t MaxTenths = 100; ///< 10 tokens.

    /** @brief A full budget: the first 10 retries towards a service need no successes. */
    RetryBudget() = default;
    /** @brief The budget before the first success. */
    explicit RetryBudget(const BudgetBounds &bounds) noexcept
        : RetryBudget(bounds.firstTenths)
    {
    }

    [[nodiscard]] double tokens() const noexcept
    {
        return static_cast<double>(m_tenths) / TenthsPerRetry;
    }
    [[nodiscard]] RetryBudget afterSuccess(const BudgetBounds &bounds = {}) const noexcept;
    /** @return The budget after one retry, or nothing if less than one token remains. */
    [[nodiscard]] std::optional<RetryBudget> afterRetry(const BudgetBounds &bounds = {}) const noexcept;

    [[nodiscard]] auto operator<=>(const RetryBudget &) const = default;

private:
    explicit RetryBudget(std::uint32_t tenths) noexcept
        : m_tenths(tenths)
    {
    }

    std::uint32_t m_tenths = MaxTenths;
};

/** @brief The budgets of all services that this node calls. */
class RetryBudgets
{
public:
    /** @param bounds Returns the bounds that apply at present; null: the default ones. */
    explicit RetryBudgets(std::function<BudgetBounds()> bounds = nullptr);

    void onSuccess(const core::ServiceId &service);
    /** @return Whether a retry towards the service may be sent; if so, its token is taken. */
    [[nodiscard]] bool tryTakeRetry(const core::ServiceId &service);
    [[nodiscard]] RetryBudget budgetOf(const core::ServiceId &service) const;
    /** @brief Removes the budget of a service that no longer exists. */
    void forget(const core::ServiceId &service);
    [[nodiscard]] std::size_t size() const;

private:
    [[nodiscard]] BudgetBounds bounds() const;

    std::function<BudgetBounds()> m_bounds;
    core::ShardedMap<core::ServiceId, RetryBudget> m_budgets;
};

}
