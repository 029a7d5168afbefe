#pragma once

#include "berylspring/core/time.h"

namespace berylspring::limit {

/** @brief Longest time for which a loan may be used less exactly on another clock: 10% of its duration. */
inline constexpr double DriftFactor = 1.1;
/** @brief A borrowed rate ends after this time. What a full borrower overflows until then is lost. */
inline constexpr core::Duration RateLoanDuration = std::chrono::milliseconds(300);
/** @brief A LoanReply with tokens counts only when it is there within this time after the request was sent. */
inline constexpr core::Duration TokenLoanTimeout = std::chrono::milliseconds(15);
/** @brief Lifetime of grants when tokens are scarce; the refill behind them is lost after a full burst. */
inline constexpr core::Duration MinLifetime = std::chrono::milliseconds(2);
inline constexpr core::Duration MaxScarceLifetime = std::chrono::milliseconds(10);
/** @brief Lifetime of grants when tokens are plentiful. Longer ones need fewer messages. */
inline constexpr core::Duration MaxLifetime = std::chrono::milliseconds(250);
/** @brief Capacity behind lent tokens: until they arrived and the grants from them ended. */
inline constexpr core::Duration TokenLoanDuration = TokenLoanTimeout + MaxScarceLifetime;
/** @brief Longest time for which an entry node holds a request. */
inline constexpr core::Duration MaxHold = std::chrono::milliseconds(30);

/** @brief An owner stops granting when no peer acknowledged it for this time. */
inline constexpr core::Duration LeaseDuration = std::chrono::milliseconds(1500);
/** @brief After this time a host that left the view cannot grant: LeaseDuration x DriftFactor, rounded up. */
inline constexpr core::Duration LeaseWait = std::chrono::seconds(2);
/** @brief After this time nothing that an owner granted or lent can be in use: the longest x DriftFactor, rounded up.
 */
inline constexpr core::Duration LoanWait = std::chrono::milliseconds(350);
/** @brief A host that has been in the view for this time is known to all hosts of the data centre. */
inline constexpr core::Duration SettleTime = std::chrono::seconds(10);

}
