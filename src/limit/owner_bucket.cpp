#include "berylspring/limit/owner_bucket.h"

#include "berylspring/limit/tuning.h"

#include <algorithm>
#include <cmath>

namespace berylspring::limit {

namespace {

using namespace std::chrono_literals;

/** Compensates for floating-point rounding, so that three thirds of a token add up to a whole one. */
constexpr double RoundingTolerance = 1e-6;
/** Tokens count as scarce below this fraction of the capacity. */
constexpr double ScarceFraction = 0.5;
/** An active bucket borrows in advance below this fraction of its capacity. */
constexpr double BorrowFraction = 0.75;
/** Maximum tokens in long-lived grants, in seconds of the rate. After a full burst as much refill may be lost. */
constexpr double LongLivedGrantSeconds = 0.015;
/** Time that an advance token loan has to cover: its transfer and that of the next one. */
constexpr core::Duration AdvanceLoanTime = 2 * TokenLoanDuration;
/** A rate loan that would add less than this during its lifetime is not worth its messages. */
constexpr double MinRateLoanTokens = 0.5;
/** Factor on the observed demand that a borrower requests. With a larger one, full buckets of borrowers overflow. */
constexpr double BorrowHeadroom = 1.05;
/** Factor on the observed demand that a lender keeps for itself. */
constexpr double LendHeadroom = 1.1;
/** Tokens that a lender keeps, in seconds of its demand. Less than MaxHold. */
constexpr double ReserveSeconds = 0.010;
/** Time constant of the sustained demand: a burst of less than this time's rate should not cause rate loans. */
constexpr double SustainedSeconds = 1.0;
constexpr core::Duration RateRequestInterval = 50ms;
/** Upper bound for a lender that repeatedly had almost nothing to lend. */
constexpr core::Duration MaxRateRequestInterval = 400ms;
constexpr core::Duration TokenRequestInterval = 250ms;
/**
 * A lender that lent less than requested gets no token request for this time. While a workspace exceeds its limit, all
 * data centres are out of tokens and requests between them cannot succeed, so the time doubles with repeated empty
 * loans.
 */
constexpr core::Duration ExhaustedInterval = 12ms;
constexpr core::Duration MaxExhaustedInterval = 200ms;
/** Fraction of the requested amount below which a loan counts as empty. */
constexpr double EmptyFraction = 0.05;
/** Consecutive empty loans before the interval grows. */
constexpr std::uint32_t EmptyLoansBeforeBackoff = 8;
constexpr core::Duration LoanFailureInterval = 200ms;
/** Delays that an owner without tokens replies with: while it may borrow, and at least while it may not. */
constexpr core::Duration LoanPollInterval = 3ms;
constexpr core::Duration ExhaustedPollInterval = 8ms;
/** A rate loan is renewed if it expires within this time. */
constexpr core::Duration LoanRenewalLeadTime = RateLoanDuration / 2;
/** Age at which unmet demand is ignored, since its requests have been held too long. */
constexpr core::Duration UnmetDemandLifetime = 20ms;

core::Duration withBackoff(core::Duration interval, std::uint32_t emptyLoans, core::Duration maximum)
{
    constexpr std::uint32_t MaxDoublings = 8;
    const std::uint32_t doublings = std::min(MaxDoublings, emptyLoans - std::min(emptyLoans, EmptyLoansBeforeBackoff));
    return std::min(maximum, interval * (1U << doublings));
}

core::Duration withDrift(core::Duration duration)
{
    return durationOf(seconds(duration) * DriftFactor);
}

}

OwnerBucket::OwnerBucket(Share share,
                         std::vector<core::DataCentreId> lenders,
                         HandoverState state,
                         core::TimePoint start)
    : m_share(share)
    , m_sustainedDemand(SustainedSeconds)
    , m_bucket(0, share.capacity() + state.tokens, state.tokens, start)
{
    for (auto &lender : lenders) {
        m_lenders.emplace(std::move(lender), Lender{});
    }
    for (auto &entry : state.ledgerEntries) {
        m_ledger.add(std::move(entry));
    }
}

double OwnerBucket::rateAt(core::TimePoint at) const
{
    return std::max(0.0, m_share.rate() - m_ledger.total(LedgerEntryKind::RateLent, at))
           + m_ledger.total(LedgerEntryKind::RateBorrowed, at);
}

double OwnerBucket::capacityAt(core::TimePoint at) const
{
    const double capacity = std::max(0.0, m_share.capacity() - m_ledger.total(LedgerEntryKind::CapacityLent, at))
                            + m_ledger.total(LedgerEntryKind::CapacityBorrowed, at);
    return std::max(0.0, capacity - m_ledger.total(LedgerEntryKind::Granted, at));
}

double OwnerBucket::ownCapacityAt(core::TimePoint at) const
{
    return std::min(capacityAt(at),
                    std::max(0.0, m_share.capacity() - m_ledger.total(LedgerEntryKind::CapacityLent, at)));
}

void OwnerBucket::advance(core::TimePoint now)
{
    while (m_bucket.updatedAt() < now) {
        const core::TimePoint from = m_bucket.updatedAt();
        const core::TimePoint to = std::min(now, m_ledger.nextExpiry(from).value_or(now));
        // Borrowed capacity takes borrowed tokens only, since refill in it would be lost when the loan expires.
        const double limit = std::max(ownCapacityAt(from), std::min(m_bucket.tokens(), capacityAt(from)));
        m_bucket = TokenBucket(rateAt(from), limit, m_bucket.tokens(), from).refilled(to);
    }
    m_ledger.prune(now);
    m_bucket = m_bucket.withCapacity(capacityAt(m_bucket.updatedAt()));
}

void OwnerBucket::changeShare(Share share, core::TimePoint now)
{
    if (share != m_share) {
        advance(now);
        m_share = share;
        m_bucket = m_bucket.withCapacity(capacityAt(now));
    }
}

double OwnerBucket::tokens(core::TimePoint now)
{
    advance(now);
    return m_bucket.tokens();
}

bool OwnerBucket::isScarce(core::TimePoint now) const
{
    return m_bucket.tokens() < ScarceFraction * m_share.capacity()
           || m_ledger.total(LedgerEntryKind::CapacityBorrowed, now) > 0;
}

core::Duration OwnerBucket::lifetime(double granted, core::TimePoint now) const
{
    // Bounds outstanding grants to a quarter of the capacity while tokens are used at the current rate.
    const double rate = std::max({m_share.rate(), rateAt(now), 1e-9});
    const double base =
        std::clamp(m_share.capacity() / (4 * rate), seconds(MinGrantLifetime), seconds(MaxScarceGrantLifetime));
    const double longLived = LongLivedGrantSeconds * m_share.rate();
    if (isScarce(now) || granted + m_ledger.total(LedgerEntryKind::Granted, now) > longLived) {
        return durationOf(base);
    }
    const double demand = std::max(m_demand.rate(now), 1e-9);
    return durationOf(std::clamp(longLived / demand, base, seconds(MaxGrantLifetime)));
}

GrantDecision OwnerBucket::grant(std::uint32_t wanted, core::TimePoint now)
{
    advance(now);
    GrantDecision decision;
    const double whole = std::floor(m_bucket.tokens() + RoundingTolerance);
    decision.tokens = static_cast<std::uint32_t>(std::min<double>(wanted, whole));
    if (decision.tokens < wanted) {
        m_unmetTokens += wanted - decision.tokens;
        m_unmetTokensAt = now;
    }
    if (decision.tokens == 0) {
        const bool mayBorrow = std::any_of(
            m_lenders.begin(), m_lenders.end(), [&](const auto &entry) { return entry.second.exhaustedUntil <= now; });
        const double missing = std::max(0.0, 1 - m_bucket.tokens());
        const double rate = rateAt(now);
        const core::Duration refill = rate > 0 ? durationOf(missing / rate) : core::Duration(LoanWait);
        decision.availableIn = mayBorrow ? LoanPollInterval : std::max<core::Duration>(refill, ExhaustedPollInterval);
        return decision;
    }
    decision.availableIn = isScarce(now) ? LoanPollInterval : core::Duration{};
    decision.lifetime = lifetime(decision.tokens, now);
    m_bucket = m_bucket.taken(decision.tokens, now);
    m_demand = m_demand.with(decision.tokens, now);
    m_sustainedDemand = m_sustainedDemand.with(decision.tokens, now);
    m_ledger.add(LedgerEntry(LedgerEntryKind::Granted, {}, decision.tokens, now + withDrift(decision.lifetime)));
    return decision;
}

double OwnerBucket::lendableRate(const core::DataCentreId &borrower, core::TimePoint now) const
{
    const double own = m_share.rate() - m_ledger.total(LedgerEntryKind::RateLent, now, borrower);
    return std::max(0.0, own - m_sustainedDemand.rate(now) * LendHeadroom);
}

double OwnerBucket::lendableTokens(core::TimePoint now) const
{
    // Borrowed capacity is not lent, since it may expire before the loan.
    const double own = m_share.capacity() - m_ledger.total(LedgerEntryKind::CapacityLent, now)
                       - m_ledger.total(LedgerEntryKind::Granted, now);
    return std::max(0.0, std::min(own, m_bucket.tokens() - m_demand.rate(now) * ReserveSeconds));
}

LoanDecision OwnerBucket::lend(const core::DataCentreId &borrower, double rate, double tokens, core::TimePoint now)
{
    advance(now);
    LoanDecision loan;
    if (tokens > 0) {
        loan.tokens = std::min(tokens, lendableTokens(now));
        loan.duration = TokenLoanDuration;
        m_bucket = m_bucket.taken(loan.tokens, now);
        m_ledger.add(
            LedgerEntry(LedgerEntryKind::CapacityLent, borrower, loan.tokens, now + withDrift(TokenLoanDuration)));
    } else {
        loan.rate = std::min(std::max(0.0, rate), lendableRate(borrower, now));
        loan.duration = RateLoanDuration;
        m_ledger.add(LedgerEntry(LedgerEntryKind::RateLent, borrower, loan.rate, now + withDrift(RateLoanDuration)));
    }
    return loan;
}

void OwnerBucket::addRateNeeds(std::vector<LoanNeed> &result, core::TimePoint now)
{
    const bool isLow = m_bucket.tokens() < BorrowFraction * m_share.capacity();
    if (!isLow && m_ledger.total(LedgerEntryKind::RateBorrowed, now) == 0) {
        return;
    }
    // Free capacity alone is no reason to borrow: the lender may have some too, and a full borrower loses its refill.
    const double demand = std::min(m_sustainedDemand.rate(now), m_demand.rate(now));
    const double need = demand * BorrowHeadroom - m_share.rate();
    const double requestedRate = std::min(need / static_cast<double>(m_lenders.size()), m_share.rate());
    if (requestedRate <= 0 || need * seconds(RateLoanDuration) < MinRateLoanTokens) {
        return;
    }
    for (auto &[name, lender] : m_lenders) {
        const double held = m_ledger.rateWith(LedgerEntryKind::RateBorrowed, name, now + LoanRenewalLeadTime);
        if (!lender.isRateLoanPending && lender.nextRateRequest <= now && held < 0.9 * requestedRate) {
            lender.isRateLoanPending = true;
            result.push_back(LoanNeed{name, requestedRate, 0});
        }
    }
}

void OwnerBucket::addTokenNeeds(std::vector<LoanNeed> &result, core::TimePoint now)
{
    const bool isUrgent = m_unmetTokens > 0 && now - m_unmetTokensAt < UnmetDemandLifetime;
    const double want = isUrgent ? m_unmetTokens - m_bucket.tokens() : ownCapacityAt(now) - m_bucket.tokens();
    // Borrowed tokens that are not used soon return to no one, so a slow demand borrows only what it lacks.
    const double usedSoon = m_demand.rate(now) * seconds(AdvanceLoanTime);
    const double low = std::min(BorrowFraction * m_share.capacity(), usedSoon);
    if (want <= RoundingTolerance || (!isUrgent && m_bucket.tokens() >= low)) {
        return;
    }
    std::vector<core::DataCentreId> candidates;
    for (const auto &[name, lender] : m_lenders) {
        if (!lender.isTokenLoanPending && lender.exhaustedUntil <= now
            && (isUrgent || lender.nextTokenRequest <= now)) {
            candidates.push_back(name);
        }
    }
    for (const auto &name : candidates) {
        m_lenders[name].isTokenLoanPending = true;
        result.push_back(LoanNeed{name, 0, want / static_cast<double>(candidates.size())});
    }
    if (!candidates.empty()) {
        m_unmetTokens = 0;
    }
}

std::vector<LoanNeed> OwnerBucket::loansToRequest(core::TimePoint now)
{
    std::vector<LoanNeed> result;
    if (!m_lenders.empty()) {
        advance(now);
        addRateNeeds(result, now);
        addTokenNeeds(result, now);
    }
    return result;
}

void OwnerBucket::applyLoan(const LoanNeed &need, const LoanDecision &loan, core::TimePoint sentAt, core::TimePoint now)
{
    advance(now);
    Lender &lender = m_lenders[need.lender];
    if (need.tokens > 0) {
        lender.isTokenLoanPending = false;
        const bool isPartial = loan.tokens < 0.9 * need.tokens;
        const bool isEmpty = loan.tokens < EmptyFraction * need.tokens;
        lender.emptyTokenLoans = isEmpty ? lender.emptyTokenLoans + 1 : 0;
        lender.exhaustedUntil =
            isPartial ? now + withBackoff(ExhaustedInterval, lender.emptyTokenLoans, MaxExhaustedInterval) : now;
        lender.nextTokenRequest = now + TokenRequestInterval * (isPartial ? 4 : 1);
        if (now < sentAt + TokenLoanTimeout) {
            m_ledger.add(
                LedgerEntry(LedgerEntryKind::CapacityBorrowed, need.lender, loan.tokens, sentAt + TokenLoanTimeout));
            m_bucket = m_bucket.withCapacity(capacityAt(now)).taken(-loan.tokens, now);
        }
        return;
    }
    lender.isRateLoanPending = false;
    const bool isEmpty = loan.rate < EmptyFraction * need.rate;
    lender.emptyRateLoans = isEmpty ? lender.emptyRateLoans + 1 : 0;
    lender.nextRateRequest = now + withBackoff(RateRequestInterval, lender.emptyRateLoans, MaxRateRequestInterval);
    m_ledger.add(LedgerEntry(LedgerEntryKind::RateBorrowed, need.lender, loan.rate, sentAt + loan.duration));
}

void OwnerBucket::applyLoanFailure(const LoanNeed &need, core::TimePoint now)
{
    Lender &lender = m_lenders[need.lender];
    if (need.tokens > 0) {
        lender.isTokenLoanPending = false;
        lender.exhaustedUntil = now + LoanFailureInterval;
        lender.nextTokenRequest = now + LoanFailureInterval;
    } else {
        lender.isRateLoanPending = false;
        lender.nextRateRequest = now + LoanFailureInterval;
    }
}

HandoverState OwnerBucket::handOver(core::TimePoint now)
{
    advance(now);
    return {m_bucket.tokens(), m_ledger.entries()};
}

bool OwnerBucket::isIdle(core::TimePoint now, core::Duration refillTime)
{
    advance(now);
    return m_share.capacity() <= m_share.rate() * seconds(refillTime) && m_ledger.entries().empty()
           && m_bucket.tokens() >= m_share.capacity() * (1 - RoundingTolerance);
}

}
