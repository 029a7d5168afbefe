#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <mutex>
#include <optional>

namespace berylspring::membership {

/** @brief Schedule of full table transfers to this member: after joining, a pause or the end of a partition. */
class SyncSchedule
{
public:
    /** @brief Schedules three transfers, the first from the given member, or from any if none is given. */
    void request(const std::optional<core::HostId> &from);

    /** @brief Whether a transfer is to be requested at a tick, and from which member. */
    struct Step
    {
        bool isDue = false;
        std::optional<core::HostId> from; ///< std::nullopt: any live member.
        [[nodiscard]] bool operator==(const Step &) const = default;
    };
    [[nodiscard]] Step next(core::TimePoint now);

    /** @brief Records that a transfer was requested. Without this call the transfer stays due. */
    void markRequested(core::TimePoint now);

private:
    std::mutex m_mutex;
    int m_remaining = 0;
    std::optional<core::HostId> m_from;
    std::optional<core::TimePoint> m_lastRequest;
};

}
