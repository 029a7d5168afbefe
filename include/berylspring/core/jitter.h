#pragma once

#include "berylspring/core/time.h"

#include <algorithm>
#include <cstdint>

namespace berylspring::core {

/**
 * @brief Spreads callers that are refused at the same time, so that they do not return at the same time.
 * @param time Shortest time.
 * @param most Bound of the random addition; at least a nanosecond is used.
 * @param random Uniformly distributed.
 */
[[nodiscard]] inline Duration withJitter(Duration time, Duration most, std::uint64_t random) noexcept
{
    const auto steps = static_cast<std::uint64_t>(std::max<Duration::rep>(most.count(), 1));
    return time + Duration(static_cast<Duration::rep>(random % steps));
}

}
