#pragma once

#include <cstdint>
#include <functional>

namespace berylspring::core {

/** @brief Position of a record in a stream of the platform log. */
using Offset = std::uint64_t;

/** @brief Priority of a request, 0 (lowest) to MaxPriority. */
using PriorityLevel = std::uint8_t;
inline constexpr PriorityLevel MaxPriority = 7;

/** @brief Source of uniformly distributed 64-bit numbers. Must be safe to call from several threads. */
using RandomSource = std::function<std::uint64_t()>;

/** @return A source with one generator per thread, each seeded by the operating system. */
[[nodiscard]] RandomSource systemRandom();

}
