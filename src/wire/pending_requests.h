#pragma once

#include "berylspring/core/time.h"
#include "wire/envelope.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace berylspring::wire::detail {

/**
 * @brief The requests of one connection that wait for an answer. Not thread-safe.
 * @tparam Waiter Object that receives the answer; movable.
 */
template<typename Waiter>
class PendingRequests
{
public:
    using Entry = std::pair<std::uint64_t, Waiter>;

    /** @param epoch Epoch of the connection. */
    explicit PendingRequests(std::uint64_t epoch) noexcept
        : m_epoch(epoch)
    {
    }

    /**
     * @param number Number of the request, unique on this connection.
     * @param deadline Time at which the request expires.
     * @param waiter Receiver of the answer.
     */
    void add(std::uint64_t number, core::TimePoint deadline, Waiter waiter)
    {
        m_entries.emplace(number, Slot{deadline, std::move(waiter)});
        m_deadlines.emplace(deadline, number);
    }

    /** @return The waiter for an answer; nothing if no request matches, and the answer counts as dropped. */
    [[nodiscard]] std::optional<Waiter> match(const RequestKey &key)
    {
        auto waiter = key.epoch == m_epoch ? remove(key.number) : std::nullopt;
        m_droppedAnswers += waiter ? 0 : 1;
        return waiter;
    }

    /** @return The removed waiter, which no later answer matches. */
    [[nodiscard]] std::optional<Waiter> remove(std::uint64_t number)
    {
        const auto found = m_entries.find(number);
        if (found == m_entries.end()) {
            return std::nullopt;
        }
        m_deadlines.erase({found->second.deadline, number});
        std::optional<Waiter> waiter(std::move(found->second.waiter));
        m_entries.erase(found);
        return waiter;
    }

    /** @return The waiters whose deadline has passed. */
    [[nodiscard]] std::vector<Entry> removeExpired(core::TimePoint now)
    {
        std::vector<Entry> expired;
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            const std::uint64_t number = m_deadlines.begin()->second;
            expired.emplace_back(number, std::move(*remove(number)));
        }
        return expired;
    }

    [[nodiscard]] std::vector<Entry> removeAll()
    {
        std::vector<Entry> all;
        for (auto &[number, slot] : m_entries) {
            all.emplace_back(number, std::move(slot.waiter));
        }
        m_entries.clear();
        m_deadlines.clear();
        return all;
    }

    [[nodiscard]] std::optional<core::TimePoint> nextDeadline() const
    {
        return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_entries.size();
    }
    [[nodiscard]] std::uint64_t droppedAnswers() const noexcept
    {
        return m_droppedAnswers;
    }

private:
    struct Slot
    {
        core::TimePoint deadline;
        Waiter waiter;
    };

    std::uint64_t m_epoch;
    std::map<std::uint64_t, Slot> m_entries;
    std::set<std::pair<core::TimePoint, std::uint64_t>> m_deadlines;
    std::uint64_t m_droppedAnswers = 0;
};

}
