#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace berylspring::retry {

/**
 * @brief Retries that a request may still cause in the whole call chain below its holder.
 *
 * The entry creates one per root request. Shares for nested calls are taken out of it, so the sum over all holders
 * never exceeds the value at the entry.
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

    /** @return Number of retries left. */
    [[nodiscard]] std::uint32_t retries() const noexcept
    {
        return m_retries;
    }

    /** @return What is left after one retry, or nothing if no retry is left. */
    [[nodiscard]] std::optional<RetryAllowance> afterRetry() const noexcept;

    /** @return Half of what is left, rounded up, for a nested call, and the rest for the holder. */
    [[nodiscard]] Split split() const noexcept;

    /**
     * @brief Takes back what a nested call did not use.
     * @param share What split() gave to the nested call.
     * @param spent Retries that the nested call reports. More than the share counts as the whole share.
     */
    [[nodiscard]] RetryAllowance withReturned(RetryAllowance share, std::uint32_t spent) const noexcept;

    [[nodiscard]] auto operator<=>(const RetryAllowance &) const = default;

private:
    std::uint32_t m_retries = 0;
};

/** @brief The two parts of a divided allowance. */
struct RetryAllowance::Split
{
    RetryAllowance kept;
    RetryAllowance nested;
    [[nodiscard]] bool operator==(const Split &) const = default;
};

}
