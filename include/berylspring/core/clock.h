#pragma once

#include "berylspring/core/time.h"

namespace berylspring::core {

/**
 * @return Monotonic time that also counts while the machine is suspended, unlike that of std::chrono::steady_clock, so
 * that a lease or a proof is as old as it is to everybody else. Comparable only with other results of this function.
 */
[[nodiscard]] TimePoint bootTime() noexcept;

}
