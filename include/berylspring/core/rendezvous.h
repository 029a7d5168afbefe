#pragma once

#include "berylspring/core/name.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace berylspring::core {

/** @return 64-bit hash (xxHash64) that is the same on all hosts. */
[[nodiscard]] std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0) noexcept;

/**
 * @brief Orders candidates by rendezvous hashing: removing a candidate moves only the keys for which it was the first.
 * @param key Key to be placed.
 * @param candidates Hosts in any order.
 * @return The candidates by descending score.
 */
[[nodiscard]] std::vector<HostId> rendezvousOrder(std::string_view key, std::vector<HostId> candidates);

/** @return The first of rendezvousOrder(), or an empty name if there are no candidates. */
[[nodiscard]] HostId rendezvousFirst(std::string_view key, const std::vector<HostId> &candidates);

}
