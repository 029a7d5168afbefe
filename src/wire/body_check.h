#pragma once

#include <cstddef>
#include <cstdint>

#include <xxhash.h>

namespace berylspring::wire::detail {

/** @brief Value of the last field of a body; a truncated body lacks it. */
inline constexpr std::uint32_t BodyEndMark = 0x42534e44;

/** @brief Hash of a body, seeded with the request number so that a body in the frame of another request is detected. */
[[nodiscard]] inline std::uint64_t bodyHash(const void *bytes, std::size_t size, std::uint64_t requestNumber) noexcept
{
    return XXH64(bytes, size, requestNumber);
}

}
