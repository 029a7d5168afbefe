#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace berylspring::retry {

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

    [[nodiscard]] double tokens() const noexcept
    {
        return static_cast<double>(m_tenths) / TenthsPerRetry;
    }
    [[nodiscard]] RetryBudget afterSuccess() const noexcept;
    /** @return The budget after one retry, or nothing if less than one token remains. */
    [[nodiscard]] std::optional<RetryBudget> afterRetry() const noexcept;

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
    void onSuccess(const core::ServiceId &service);
    /** @return Whether a retry towards the service may be sent; if so, its token is taken. */
    [[nodiscard]] bool tryTakeRetry(const core::ServiceId &service);
    [[nodiscard]] RetryBudget budgetOf(const core::ServiceId &service) const;
    /** @brief Removes the budget of a service that no longer exists. */
    void forget(const core::ServiceId &service);
    [[nodiscard]] std::size_t size() const;

private:
    core::ShardedMap<core::ServiceId, RetryBudget> m_budgets;
};

}
