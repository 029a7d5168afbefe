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
     * @brief Takes note of the newest complete snapshot in the log.
     *
     * The first one may have any age; half an interval is assumed, so that neither a series of replaced writers nor
     * a series of restarts puts off the next snapshot for good or writes one each.
     */
    [[nodiscard]] SnapshotSchedule withNewest(std::optional<core::Offset> newest, core::TimePoint now) const
    {
        SnapshotSchedule copy = *this;
        if (newest && newest != m_newest) {
            copy.m_seenAt = m_hasLooked ? now : now - m_interval / 2;
            copy.m_newest = newest;
        }
        copy.m_hasLooked = true;
        return copy;
    }

    /** @param rank 0 for the writer, 1 for the back-up, else the node writes none. */
    [[nodiscard]] bool isDue(int rank, core::TimePoint now) const
    {
        if (!m_hasLooked || rank < 0 || rank > 1) {
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
    bool m_hasLooked = false;
    std::optional<core::Offset> m_newest;
    std::optional<core::TimePoint> m_seenAt;
};

}
