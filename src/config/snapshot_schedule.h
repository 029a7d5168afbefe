#pragma once

#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <compare>
#include <optional>

namespace berylspring::config::detail {

/** @brief Decides when a node writes a snapshot. Immutable. */
class SnapshotSchedule
{
public:
    explicit SnapshotSchedule(core::Duration interval)
        : m_interval(interval)
    {
    }

    /**
     * @brief Returns a schedule updated with the newest complete snapshot in the log.
     *
     * The age of the first snapshot seen is unknown; half an interval is assumed. Repeated restarts or replacements of
     * writers then neither postpone the next snapshot indefinitely nor write one each.
     */
    [[nodiscard]] SnapshotSchedule withNewest(std::optional<core::Offset> newest, core::TimePoint now) const
    {
        SnapshotSchedule copy = *this;
        if (newest && newest != m_newest) {
            copy.m_seenAt = m_hasChecked ? now : now - m_interval / 2;
            copy.m_newest = newest;
        }
        copy.m_hasChecked = true;
        return copy;
    }

    /** @param rank 0: writer, 1: backup writer, others never write. */
    [[nodiscard]] bool isDue(int rank, core::TimePoint now) const
    {
        if (!m_hasChecked || rank < 0 || rank > 1) {
            return false;
        }
        if (!m_seenAt) {
            return rank == 0;
        }
        return now - *m_seenAt >= (rank == 0 ? m_interval : m_interval * 3 / 2);
    }

    [[nodiscard]] bool operator==(const SnapshotSchedule &) const = default;

private:
    core::Duration m_interval;
    bool m_hasChecked = false;
    std::optional<core::Offset> m_newest;
    std::optional<core::TimePoint> m_seenAt;
};

}
