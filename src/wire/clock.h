#pragma once

#include "berylspring/core/time.h"

#include <chrono>

namespace berylspring::wire::detail {

/** @return The monotonic time; for the classes that do I/O only. */
[[nodiscard]] inline core::TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

}
