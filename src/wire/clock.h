#pragma once

#include "berylspring/core/time.h"

#include <chrono>

namespace berylspring::wire::detail {

/** @return The monotonic time. Only for classes that do I/O; the others take the time as a parameter. */
[[nodiscard]] inline core::TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

}
