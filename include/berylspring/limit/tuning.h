#pragma once

#include "berylspring/core/time.h"

namespace berylspring::limit {

/** @brief Safety factor for clock drift: a granter assumes that another host may use a loan 10% longer. */
inline constexpr double DriftFactor = 1.1;
/** @brief Duration of a rate loan. Refill that overflows a full borrower in this time is lost. */
inline constexpr core::Duration RateLoanDuration = std::chrono::milliseconds(300);
/** @brief A LoanReply with tokens counts only if it arrives within this time after the request was sent. */
inline constexpr core::Duration TokenLoanTimeout = std::chrono::milliseconds(15);
/** @brief Bounds of the grant lifetime while tokens are scarce. After a full burst the refill of that time is lost. */
inline constexpr core::Duration MinGrantLifetime = std::chrono::milliseconds(2);
inline constexpr core::Duration MaxScarceGrantLifetime = std::chrono::milliseconds(10);
/** @brief Maximum lifetime of grants while tokens are plentiful. A longer lifetime needs fewer messages. */
inline constexpr core::Duration MaxGrantLifetime = std::chrono::milliseconds(250);
/** @brief Duration of a token loan: covers the transfer of the tokens and the lifetime of grants from them. */
inline constexpr core::Duration TokenLoanDuration = TokenLoanTimeout + MaxScarceGrantLifetime;
/** @brief Maximum time for which an entry node holds a request. */
inline constexpr core::Duration MaxHold = std::chrono::milliseconds(30);

/** @brief An owner stops granting if no peer has acknowledged it for this time. */
inline constexpr core::Duration LeaseDuration = std::chrono::milliseconds(1500);
/** @brief Time after which a host that left the view can no longer grant: LeaseDuration x DriftFactor, rounded up. */
inline constexpr core::Duration LeaseWait = std::chrono::seconds(2);
/** @brief Time after which no grant or loan can be in use any more: the longest one x DriftFactor, rounded up. */
inline constexpr core::Duration LoanWait = std::chrono::milliseconds(350);
/** @brief Time after which a host in the view is known to all hosts of the data centre. */
inline constexpr core::Duration SettleTime = std::chrono::seconds(10);

}
