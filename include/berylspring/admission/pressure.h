#pragma once

#include "berylspring/core/time.h"

#include <chrono>
#include <compare>

namespace berylspring::admission {

/**
 * @brief Exponentially weighted pressure on a service: 1 when its requests queue for the target time, above 1 when they
 * queue for longer.
 *
 * Samples decay with age, so that the pressure of a service without requests returns to 0.
 */
class Pressure
{
public:
    /** Time constant of the exponential decay: the weight of a sample falls by a factor of e in this time. */
    static constexpr core::Duration TimeConstant = std::chrono::milliseconds(300);
    /** Upper bound of a sample, and the sample of a request that was refused for overload or dropped as too late. */
    static constexpr double MaxSample = 4;

    /** @return The pressure after one more sample, which is clamped to the range from 0 to MaxSample. */
    [[nodiscard]] Pressure withSample(double sample, core::TimePoint now) const noexcept;
    [[nodiscard]] double value(core::TimePoint now) const noexcept;

    [[nodiscard]] bool operator==(const Pressure &) const = default;

private:
    double m_sum = 0;
    double m_weight = 0;
    core::TimePoint m_at;
};

}
