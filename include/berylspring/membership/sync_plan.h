#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <mutex>
#include <optional>

namespace berylspring::membership {

/** @brief When this member asks another for its whole table: after joining, a pause or the end of a partition. */
class SyncPlan
{
public:
    /** @brief Asks for three transfers, the first from this member, or from any without one. */
    void request(const std::optional<core::HostId> &from);

    /** @brief What to do at a tick. */
    struct Step
    {
        bool isDue = false;
        std::optional<core::HostId> from; ///< Nothing: any live member.
        [[nodiscard]] bool operator==(const Step &) const = default;
    };
    [[nodiscard]] Step next(core::TimePoint now);

    /** @brief Notes that a transfer was requested; a step for which no member was found is not lost. */
    void began(core::TimePoint now);

private:
    std::mutex m_mutex;
    int m_wanted = 0;
    std::optional<core::HostId> m_from;
    std::optional<core::TimePoint> m_lastBegan;
};

}
