#pragma once

#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <chrono>
#include <compare>

namespace berylspring::admission {

/**
 * @brief Lowest priority level that an endpoint admits, with hysteresis.
 *
 * The level rises at once and falls by one for each interval without overload, so that entry nodes do not readmit all
 * shed requests at the same moment.
 */
class AdmittedLevel
{
public:
    static constexpr core::Duration DecayInterval = std::chrono::milliseconds(200);

    /** @return The level at `now`; 0 when everything is admitted. */
    [[nodiscard]] core::PriorityLevel level(core::TimePoint now) const noexcept;
    /**
     * @param lowest Lowest priority that the queue still holds.
     * @return The level after requests below `lowest` were refused because the queue was full.
     */
    [[nodiscard]] AdmittedLevel withPressure(core::PriorityLevel lowest, core::TimePoint now) const noexcept;

    [[nodiscard]] bool operator==(const AdmittedLevel &) const = default;

private:
    core::PriorityLevel m_level = 0;
    core::TimePoint m_pressureAt;
};

}
