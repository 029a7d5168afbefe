#pragma once

#include "berylspring/core/time.h"

namespace berylspring::core {

/**
 * @return Monotonic time that, unlike std::chrono::steady_clock, also advances while the machine is suspended, so that
 * the age of a lease or a proof agrees with its age on other hosts. Comparable only with other results of this
 * function.
 */
[[nodiscard]] TimePoint bootTime() noexcept;

/** @return Processor time that all threads of this process have used. */
[[nodiscard]] Duration processorTime() noexcept;

}
