#pragma once

#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <chrono>
#include <compare>

namespace berylspring::admission {

/**
 * @brief Lowest priority level that an endpoint admits, with hysteresis.
 *
 * It rises at once and falls by one level for each interval without pressure, so that entry nodes do not release all
 * shed work at the same moment.
 */
class AdmittedLevel
{
public:
    static constexpr core::Duration CalmPerLevel = std::chrono::milliseconds(200);

    /** @return The level now, 0 when everything is admitted. */
    [[nodiscard]] core::PriorityLevel level(core::TimePoint now) const noexcept;
    /**
     * @param lowest Lowest priority for which there is room.
     * @return The level after work below `lowest` was refused for lack of room.
     */
    [[nodiscard]] AdmittedLevel withPressure(core::PriorityLevel lowest, core::TimePoint now) const noexcept;

    [[nodiscard]] bool operator==(const AdmittedLevel &) const = default;

private:
    core::PriorityLevel m_level = 0;
    core::TimePoint m_pressureAt;
};

}
