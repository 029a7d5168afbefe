#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace berylspring::limit {

enum class HoldKind : std::uint8_t {
    RateLent,
    RateBorrowed,
    CapacityLent,
    CapacityBorrowed,
    Granted, ///< Tokens in the hands of entry nodes.
};

/** @brief An amount that differs from the share until a moment. */
class Hold
{
public:
    /**
     * @param kind What is held.
     * @param partner The other data centre; empty for Granted.
     * @param amount Tokens per second for rates, else tokens.
     * @param until Counts before this moment.
     */
    Hold(HoldKind kind, core::DataCentreId partner, double amount, core::TimePoint until)
        : m_kind(kind)
        , m_partner(std::move(partner))
        , m_amount(amount)
        , m_until(until)
    {
    }

    [[nodiscard]] HoldKind kind() const noexcept
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
    /** @return Whether the other hold of the same kind and partner adds nothing to this one. */
    [[nodiscard]] bool covers(const Hold &other) const noexcept
    {
        return m_kind == other.m_kind && m_partner == other.m_partner && m_amount >= other.m_amount
               && m_until >= other.m_until;
    }
    [[nodiscard]] bool operator==(const Hold &) const = default;

private:
    HoldKind m_kind;
    core::DataCentreId m_partner;
    double m_amount;
    core::TimePoint m_until;
};

/**
 * @brief Holds of one bucket.
 *
 * Rate loans of one partner replace each other, so the largest of them counts: a renewal needs no second share, and
 * a late or repeated message can never shorten or shrink what the lender counts as lent. Capacities and grants add.
 */
class Ledger
{
public:
    /** @brief Adds a hold and drops the rate loans that it covers. */
    void add(Hold hold);
    /** @brief Drops the holds that ended. */
    void prune(core::TimePoint now);

    /** @return Total of one kind at a moment, without the given partner if there is one. */
    [[nodiscard]] double total(HoldKind kind, core::TimePoint at, const core::DataCentreId &except = {}) const;
    /** @return Rate loans of one partner at a moment. */
    [[nodiscard]] double rateWith(HoldKind kind, const core::DataCentreId &partner, core::TimePoint at) const;
    /** @return First moment after the given one at which a hold ends. */
    [[nodiscard]] std::optional<core::TimePoint> nextEnd(core::TimePoint after) const;
    [[nodiscard]] const std::vector<Hold> &holds() const noexcept
    {
        return m_holds;
    }

private:
    std::vector<Hold> m_holds;
};

}
