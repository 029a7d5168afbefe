#pragma once

#include "berylspring/core/name.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>
#include <unordered_map>
#include <vector>

namespace berylspring::membership {

/**
 * @return Number of times that an update is gossiped: 3 times the rounds that an epidemic needs to reach all members.
 * At least 15, since a member that has just joined knows only a few of them.
 */
[[nodiscard]] std::size_t transmissionLimit(std::size_t memberCount) noexcept;

/**
 * @brief Members whose records are to be gossiped, the least often sent and then the newest first.
 *
 * It holds host ids only. The record is read when a datagram is built, so that an outdated one is never sent.
 */
class UpdateQueue
{
public:
    /** Bounds the memory; the most often sent entries are evicted. */
    static constexpr std::size_t MaxEntries = 4096;

    /** @brief Queues a member, or resets its transmissions if it is queued already. */
    void add(const core::HostId &host);
    /** @return The first count entries. */
    [[nodiscard]] std::vector<core::HostId> first(std::size_t count) const;
    /** @brief Counts one transmission and drops the entry when it reached the limit. */
    void markSent(const core::HostId &host, std::size_t limit);
    void remove(const core::HostId &host);
    [[nodiscard]] std::size_t size() const;

private:
    struct Position
    {
        std::size_t transmissions = 0;
        std::uint64_t age = 0; ///< Smaller for newer entries.
        [[nodiscard]] auto operator<=>(const Position &) const = default;
    };
    struct Entry
    {
        Position position;
        core::HostId host;
        [[nodiscard]] auto operator<=>(const Entry &) const = default;
    };

    void place(const core::HostId &host, Position position);
    void drop(const core::HostId &host);

    mutable std::mutex m_mutex;
    std::uint64_t m_nextAge = UINT64_MAX;
    std::unordered_map<core::HostId, Position> m_positions;
    std::set<Entry> m_order;
};

}
