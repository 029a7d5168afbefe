#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/limit/demand_estimate.h"
#include "berylspring/limit/ledger.h"
#include "berylspring/limit/token_bucket.h"
#include "berylspring/limit/workspace_limit.h"

#include <cstdint>
#include <map>
#include <vector>

namespace berylspring::limit {

/** @brief Reply of an owner to a grant request of an entry node. */
struct GrantDecision
{
    std::uint32_t tokens = 0;
    core::Duration lifetime{}; ///< From the sending of the request.
    core::Duration availableIn{}; ///< Without tokens: delay before the next request. With tokens: non-zero if scarce.
    [[nodiscard]] bool operator==(const GrantDecision &) const = default;
};

/** @brief Amount lent: a rate for RateLoanDuration, or tokens and their capacity for TokenLoanDuration. */
struct LoanDecision
{
    double rate = 0;
    double tokens = 0;
    core::Duration duration{};
    [[nodiscard]] bool operator==(const LoanDecision &) const = default;
};

/** @brief A loan that the owner should request. Either rate or tokens is positive. */
struct LoanNeed
{
    core::DataCentreId lender;
    double rate = 0;
    double tokens = 0;
    [[nodiscard]] bool operator==(const LoanNeed &) const = default;
};

/** @brief State that is transferred to the next owner. */
struct HandoverState
{
    double tokens = 0;
    std::vector<LedgerEntry> ledgerEntries;
    [[nodiscard]] bool operator==(const HandoverState &) const = default;
};

/**
 * @brief The bucket of one workspace at its owner in one data centre.
 *
 * Invariant: tokens + granted tokens that may still be used <= capacity - lent + borrowed. The sum over data centres
 * therefore never exceeds the burst, and it grows by at most the sum of the rates.
 */
class OwnerBucket
{
public:
    /**
     * @param share The share of this data centre.
     * @param lenders The other declared data centres.
     * @param state Tokens and ledger entries at the start.
     * @param start Time at which refill begins.
     */
    OwnerBucket(Share share, std::vector<core::DataCentreId> lenders, HandoverState state, core::TimePoint start);

    /** @brief Applies a changed share from now on. */
    void changeShare(Share share, core::TimePoint now);

    [[nodiscard]] GrantDecision grant(std::uint32_t wanted, core::TimePoint now);
    /** @return The loan to another data centre, already deducted from this bucket. */
    [[nodiscard]] LoanDecision
    lend(const core::DataCentreId &borrower, double rate, double tokens, core::TimePoint now);
    /** @return Loans to request now, each pending until applyLoan() or applyLoanFailure() is called for it. */
    [[nodiscard]] std::vector<LoanNeed> loansToRequest(core::TimePoint now);
    /**
     * @brief Adds a loan.
     * @param need The requested loan.
     * @param loan The amount that the lender gave.
     * @param sentAt Time at which the request was sent; the duration of the loan starts here.
     * @param now Current time; tokens that arrive TokenLoanTimeout after sentAt or later are dropped.
     */
    void applyLoan(const LoanNeed &need, const LoanDecision &loan, core::TimePoint sentAt, core::TimePoint now);
    void applyLoanFailure(const LoanNeed &need, core::TimePoint now);

    /** @return The state for the next owner; this bucket must not be used afterwards. */
    [[nodiscard]] HandoverState handOver(core::TimePoint now);
    /**
     * @param now Current time.
     * @param refillTime Time for which an empty replacement bucket would have been refilled by now.
     * @return Whether the bucket can be dropped without loss: it is full, nothing is lent, borrowed or granted, and a
     * replacement would be full too.
     */
    [[nodiscard]] bool isIdle(core::TimePoint now, core::Duration refillTime);
    [[nodiscard]] double tokens(core::TimePoint now);

private:
    struct Lender
    {
        bool isRateLoanPending = false;
        bool isTokenLoanPending = false;
        core::TimePoint nextRateRequest{};
        core::TimePoint nextTokenRequest{};
        core::TimePoint exhaustedUntil{}; ///< Its last loan was smaller than requested.
        std::uint32_t emptyTokenLoans = 0; ///< Consecutive token loans below EmptyFraction of the request.
        std::uint32_t emptyRateLoans = 0; ///< The same for rate loans.
    };

    void advance(core::TimePoint now);
    [[nodiscard]] double rateAt(core::TimePoint at) const;
    [[nodiscard]] double capacityAt(core::TimePoint at) const;
    [[nodiscard]] double ownCapacityAt(core::TimePoint at) const;
    [[nodiscard]] core::Duration lifetime(double granted, core::TimePoint now) const;
    [[nodiscard]] bool isScarce(core::TimePoint now) const;
    [[nodiscard]] double lendableRate(const core::DataCentreId &borrower, core::TimePoint now) const;
    [[nodiscard]] double lendableTokens(core::TimePoint now) const;
    void addRateNeeds(std::vector<LoanNeed> &result, core::TimePoint now);
    void addTokenNeeds(std::vector<LoanNeed> &result, core::TimePoint now);

    Share m_share;
    std::map<core::DataCentreId, Lender> m_lenders;
    Ledger m_ledger;
    DemandEstimate m_sustainedDemand; ///< Granted tokens per second, averaged over SustainedSeconds.
    TokenBucket m_bucket;
    DemandEstimate m_demand; ///< Granted tokens per second, averaged over a short time.
    double m_unmetTokens = 0; ///< Tokens that could not be granted since the last token loan request.
    core::TimePoint m_unmetTokensAt{};
};

}
