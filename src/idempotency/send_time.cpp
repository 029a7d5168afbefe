#include "berylspring/idempotency/send_time.h"

namespace berylspring::idempotency {

std::uint64_t SendTime::challengeAt(core::TimePoint now) noexcept
{
    // 0 means no challenge.
    return static_cast<std::uint64_t>(core::Duration(now.time_since_epoch()).count()) + 1;
}

SendOrder SendTime::comparedTo(core::TimePoint notRunSince, core::TimePoint now) const noexcept
{
    if (now - m_age < notRunSince) {
        return SendOrder::Earlier;
    }
    if (m_challenge == 0 || m_challenge > challengeAt(now)) {
        return SendOrder::Ambiguous;
    }
    const core::TimePoint challenged{core::Duration(static_cast<core::Duration::rep>(m_challenge - 1))};
    return challenged - m_age >= notRunSince ? SendOrder::Later : SendOrder::Ambiguous;
}

}
