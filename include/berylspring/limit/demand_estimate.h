#pragma once

#include "berylspring/core/time.h"

namespace berylspring::limit {

/** @brief Exponentially weighted moving average of an event rate. */
class DemandEstimate
{
public:
    /** @param timeConstantSeconds The default follows a shift of the demand within the duration of a loan. */
    explicit DemandEstimate(double timeConstantSeconds = 0.1)
        : m_timeConstant(timeConstantSeconds)
    {
    }

    /** @return The estimate after count more events at now. */
    [[nodiscard]] DemandEstimate with(double count, core::TimePoint now) const;
    /** @return Events per second. */
    [[nodiscard]] double rate(core::TimePoint now) const;
    [[nodiscard]] bool operator==(const DemandEstimate &) const = default;

private:
    double m_timeConstant;
    double m_rate = 0;
    core::TimePoint m_updatedAt{};
};

}
