#pragma once

#include <chrono>

namespace berylspring::core {

/** @brief Monotonic time. Every deciding function takes it as an argument. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;
/** @brief Calendar time, for logs and spans only; it may jump. */
using WallTime = std::chrono::system_clock::time_point;

}
