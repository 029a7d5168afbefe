#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace berylspring::limit {

enum class LedgerEntryKind : std::uint8_t {
    RateLent,
    RateBorrowed,
    CapacityLent,
    CapacityBorrowed,
    Granted, ///< Tokens granted to entry nodes.
};

/** @brief A temporary change of a share: an amount that is lent, borrowed or granted until a point in time. */
class LedgerEntry
{
public:
    /**
     * @param kind What the amount is.
     * @param partner The other data centre; empty for Granted.
     * @param amount Tokens per second for rates, else tokens.
     * @param until Expiry; the amount counts before this time.
     */
    LedgerEntry(LedgerEntryKind kind, core::DataCentreId partner, double amount, core::TimePoint until)
        : m_kind(kind)
        , m_partner(std::move(partner))
        , m_amount(amount)
        , m_until(until)
    {
    }

    [[nodiscard]] LedgerEntryKind kind() const noexcept
    {
        return m_kind;
    }
    [[nodiscard]] const core::DataCentreId &partner() const noexcept
    {
        return m_partner;
    }
    [[nodiscard]] double amount() const noexcept
    {
        return m_amount;
    }
    [[nodiscard]] core::TimePoint until() const noexcept
    {
        return m_until;
    }
    /** @return Whether the other entry has the same kind and partner, and no larger amount or later expiry. */
    [[nodiscard]] bool covers(const LedgerEntry &other) const noexcept
    {
        return m_kind == other.m_kind && m_partner == other.m_partner && m_amount >= other.m_amount
               && m_until >= other.m_until;
    }
    [[nodiscard]] bool operator==(const LedgerEntry &) const = default;

private:
    LedgerEntryKind m_kind;
    core::DataCentreId m_partner;
    double m_amount;
    core::TimePoint m_until;
};

/**
 * @brief Holds of one bucket.
 *
 * Of the rate loans with one partner only the largest counts. A renewal therefore takes no second share, and a delayed
 * or duplicated message neither shortens nor reduces what the lender counts as lent. Capacities and grants add up.
 */
class Ledger
{
public:
    /** @brief Adds an entry and removes the rate loans that it covers. */
    void add(LedgerEntry entry);
    /** @brief Removes expired entries. */
    void prune(core::TimePoint now);

    /** @return Total of one kind at a point in time, without the entries of the excepted partner if one is given. */
    [[nodiscard]] double total(LedgerEntryKind kind, core::TimePoint at, const core::DataCentreId &except = {}) const;
    /** @return Largest rate loan of one partner at a point in time. */
    [[nodiscard]] double rateWith(LedgerEntryKind kind, const core::DataCentreId &partner, core::TimePoint at) const;
    /** @return Next expiry of an entry after the given time. */
    [[nodiscard]] std::optional<core::TimePoint> nextExpiry(core::TimePoint after) const;
    [[nodiscard]] const std::vector<LedgerEntry> &entries() const noexcept
    {
        return m_entries;
    }

private:
    std::vector<LedgerEntry> m_entries;
};

}
