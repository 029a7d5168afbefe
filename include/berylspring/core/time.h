#pragma once

#include <chrono>

namespace berylspring::core {

/** @brief Monotonic time. Functions that make decisions take it as an argument and read no clock. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;
/** @brief Wall-clock time, for logs and spans only; it may jump. */
using WallTime = std::chrono::system_clock::time_point;

}
