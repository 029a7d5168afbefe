#include "berylspring/retry/backoff.h"

#include <algorithm>

namespace berylspring::retry {

std::optional<core::Duration>
BackoffPolicy::pause(std::uint32_t attempt, core::Duration remaining, std::uint64_t random) const noexcept
{
    core::Duration bound = m_first;
    for (std::uint32_t i = 0; i < attempt && bound < m_longest; ++i) {
        bound *= 2;
    }
    bound = std::min({bound, m_longest, remaining / 2});
    if (bound <= core::Duration::zero()) {
        return std::nullopt;
    }
    return core::Duration(1 + static_cast<core::Duration::rep>(random % static_cast<std::uint64_t>(bound.count())));
}

}
