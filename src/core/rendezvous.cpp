#include "berylspring/core/rendezvous.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace berylspring::core {

namespace {

std::uint64_t score(std::uint64_t keyHash, const HostId &host) noexcept
{
    return stableHash(host.value(), keyHash);
}

}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH64(text.data(), text.size(), seed);
}

std::vector<HostId> rendezvousOrder(std::string_view key, std::vector<HostId> candidates)
{
    const std::uint64_t keyHash = stableHash(key);
    std::vector<std::pair<std::uint64_t, HostId>> scored;
    scored.reserve(candidates.size());
    for (HostId &host : candidates) {
        const std::uint64_t value = score(keyHash, host);
        scored.emplace_back(value, std::move(host));
    }
    std::sort(scored.begin(), scored.end(), std::greater<>{});
    candidates.clear();
    for (auto &entry : scored) {
        candidates.push_back(std::move(entry.second));
    }
    return candidates;
}

HostId rendezvousFirst(std::string_view key, const std::vector<HostId> &candidates)
{
    const std::uint64_t keyHash = stableHash(key);
    std::pair<std::uint64_t, HostId> best;
    for (const HostId &host : candidates) {
        best = std::max(best, std::pair(score(keyHash, host), host));
    }
    return best.second;
}

}
