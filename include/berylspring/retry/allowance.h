#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace berylspring::retry {

/**
 * @brief Number of retries that a request may still cause in the call chain below the holder of the allowance.
 *
 * The entry node creates one per root request. Shares for nested calls are deducted from it, so the sum over all
 * holders never exceeds the initial value.
 */
class RetryAllowance
{
public:
    struct Split;

    RetryAllowance() = default;
    explicit RetryAllowance(std::uint32_t retries) noexcept
        : m_retries(retries)
    {
    }

    /** @return Number of remaining retries. */
    [[nodiscard]] std::uint32_t retries() const noexcept
    {
        return m_retries;
    }

    /** @return The allowance after one retry, or nothing if no retry remains. */
    [[nodiscard]] std::optional<RetryAllowance> afterRetry() const noexcept;

    /** @return Half of the retries, rounded up, for a nested call, and the remainder for the holder. */
    [[nodiscard]] Split split() const noexcept;

    /**
     * @brief Adds the unused retries of a nested call.
     * @param share The share of the nested call from split().
     * @param spent Retries that the nested call reports as used, capped at the share.
     */
    [[nodiscard]] RetryAllowance withReturned(RetryAllowance share, std::uint32_t spent) const noexcept;

    [[nodiscard]] auto operator<=>(const RetryAllowance &) const = default;

private:
    std::uint32_t m_retries = 0;
};

/** @brief The two parts of a split allowance. */
struct RetryAllowance::Split
{
    RetryAllowance kept;
    RetryAllowance nested;
    [[nodiscard]] bool operator==(const Split &) const = default;
};

}
