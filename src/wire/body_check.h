#pragma once

#include <cstddef>
#include <cstdint>

#include <xxhash.h>

namespace berylspring::wire::detail {

/** @brief Last field of a complete body. */
inline constexpr std::uint32_t BodyEndMark = 0x42534e44;

/** @brief Hash of a body; the seed ties it to its request, so that a body in the frame of another request fails. */
[[nodiscard]] inline std::uint64_t bodyHash(const void *bytes, std::size_t size, std::uint64_t requestNumber) noexcept
{
    return XXH64(bytes, size, requestNumber);
}

}
