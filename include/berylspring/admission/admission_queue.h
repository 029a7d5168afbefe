#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace berylspring::admission {

/** @brief A waiting request. */
struct QueueEntryFields
{
    std::uint64_t id = 0; ///< Unique within a queue.
    core::WorkspaceId workspace;
    double weight = 1; ///< Share of its workspace relative to the others; positive.
    core::PriorityLevel priority = 0;
    bool isNested = false; ///< Goes before new work of the same level.
    core::TimePoint arrivedAt;
    core::TimePoint deadline;
    /** Deadline of the root request of a nested call. Calls that have it are ordered by it. */
    std::optional<core::TimePoint> rootDeadline;
    [[nodiscard]] bool operator==(const QueueEntryFields &) const = default;
};
using QueueEntry = core::Immutable<QueueEntryFields>;

/** @brief Result of AdmissionQueue::offer(). */
struct OfferResult
{
    bool isAccepted = false;
    std::optional<std::uint64_t> displaced; ///< Entry that was evicted in favour of the accepted one.
    [[nodiscard]] bool operator==(const OfferResult &) const = default;
};

/** @brief The entry to start next, and the entries dropped because they cannot finish before their deadlines. */
struct TakeResult
{
    std::optional<QueueEntry> next;
    std::vector<std::uint64_t> tooLate;
    [[nodiscard]] bool operator==(const TakeResult &) const = default;
};

/**
 * @brief Waiting requests of one endpoint. Not thread-safe: guarded by the lock of its shard.
 *
 * Order: by priority; within a priority, nested and new entries alternate, nested first; within each of the two,
 * workspaces share by weight (start-time fair queueing); within a workspace, earliest deadline first. Nested entries
 * have no strict precedence, because a service deep in many call chains always has some waiting and new entries would
 * starve.
 *
 * Nested calls with a root deadline are ordered by that instead. A root that makes several calls in series fails if one
 * of them is refused, so under overload the refusals have to fall on few roots: those that have most time left, which
 * have used the least work.
 */
class AdmissionQueue
{
public:
    /**
     * @brief Adds an entry.
     *
     * When the queue is full, the entry evicts one of a lower priority, or one of the same priority whose workspace
     * has a longer backlog in relation to its weight. An entry with a root deadline also evicts the one of its own
     * workspace with the latest such deadline, if that is later.
     * @param maxLength Length from which the queue is full; for a new entry, nested ones do not count.
     */
    OfferResult offer(const QueueEntry &entry, std::size_t maxLength);
    /**
     * @brief Removes the next entry to start.
     * @param minServiceTime Entries with no more time left than this are dropped, as they cannot finish in time.
     */
    [[nodiscard]] TakeResult take(core::TimePoint now, core::Duration minServiceTime);
    /** @return The removed entry, or nothing if the queue does not hold it. */
    std::optional<QueueEntry> remove(std::uint64_t id);
    /** @brief Removes all entries and returns their ids. */
    std::vector<std::uint64_t> clear();

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_entries.size();
    }
    /** @return Number of waiting entries that are nested, or that are not. */
    [[nodiscard]] std::size_t size(bool isNested) const noexcept
    {
        return isNested ? m_entries.size() - m_newCount : m_newCount;
    }
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_entries.empty();
    }
    /** @return Lowest priority among the waiting entries; nothing if the queue is empty. */
    [[nodiscard]] std::optional<core::PriorityLevel> lowestPriority() const noexcept;

private:
    /** The time is that of orderOf(): the deadline of the root, or the entry's own one if that is not known. */
    using ByDeadline = std::set<std::pair<core::TimePoint, std::uint64_t>>;

    /** Waiting entries of one workspace in one lane. */
    struct Backlog
    {
        ByDeadline entries;
        double weight = 1;
        double virtualStart = 0; ///< Virtual time at which the next entry may start.
        [[nodiscard]] double lengthPerWeight(std::size_t added) const noexcept;
    };
    /** Entries of one priority, either nested or new. */
    struct Lane
    {
        std::map<core::WorkspaceId, Backlog> backlogs;
        double virtualTime = 0;
        std::size_t size = 0;
    };
    static constexpr std::size_t LaneCount = 2 * (std::size_t{core::MaxPriority} + 1);

    [[nodiscard]] static std::size_t laneOf(const QueueEntry &entry) noexcept;
    [[nodiscard]] std::optional<std::size_t> lowestLane() const noexcept;
    [[nodiscard]] std::optional<std::uint64_t> displaceFor(const QueueEntry &entry);
    [[nodiscard]] static core::TimePoint orderOf(const QueueEntry &entry) noexcept;
    std::optional<std::uint64_t> removeLast(const Backlog &backlog);
    void insert(const QueueEntry &entry);
    [[nodiscard]] std::uint64_t selectNext(Lane &lane);
    static void removeIdleBacklogs(Lane &lane);
    void takeFromLane(Lane &lane, core::TimePoint now, core::Duration minServiceTime, TakeResult &result);

    std::array<Lane, LaneCount> m_lanes; ///< By ascending precedence.
    std::unordered_map<std::uint64_t, QueueEntry> m_entries;
    std::size_t m_newCount = 0; ///< Entries that are not nested.
    bool m_isNewNext = false; ///< Set when the last started entry was nested.
};

}
