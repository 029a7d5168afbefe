#pragma once

#include "berylspring/core/time.h"

#include <chrono>
#include <compare>

namespace berylspring::admission {

/**
 * @brief Smoothed pressure on a service: 1 when its requests wait for the target time, above 1 when they wait longer.
 *
 * Samples count less with age and are forgotten when none follow, so that a service that gets no requests has none.
 */
class Pressure
{
public:
    /** Age at which a sample counts by a factor e less. */
    static constexpr core::Duration Memory = std::chrono::milliseconds(300);
    /** Highest sample; a request that was refused for lack of room has it. */
    static constexpr double Highest = 4;

    /** @return The pressure after one more sample, which is limited to the range from 0 to Highest. */
    [[nodiscard]] Pressure withSample(double sample, core::TimePoint now) const noexcept;
    [[nodiscard]] double value(core::TimePoint now) const noexcept;

    [[nodiscard]] bool operator==(const Pressure &) const = default;

private:
    double m_sum = 0;
    double m_weight = 0;
    core::TimePoint m_at;
};

}
