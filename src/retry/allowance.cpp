#include "berylspring/retry/allowance.h"

#include <algorithm>

namespace berylspring::retry {

std::optional<RetryAllowance> RetryAllowance::afterRetry() const noexcept
{
    return m_retries == 0 ? std::nullopt : std::optional(RetryAllowance(m_retries - 1));
}

RetryAllowance::Split RetryAllowance::split() const noexcept
{
    const std::uint32_t kept = m_retries / 2;
    return {RetryAllowance(kept), RetryAllowance(m_retries - kept)};
}

RetryAllowance RetryAllowance::withReturned(RetryAllowance share, std::uint32_t spent) const noexcept
{
    return RetryAllowance(m_retries + share.retries() - std::min(spent, share.retries()));
}

}
