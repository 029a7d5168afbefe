#pragma once

#include "berylspring/core/time.h"

namespace berylspring::limit {

/** @brief Exponentially weighted rate of events. */
class DemandEstimate
{
public:
    /** @brief Short enough to see a move of the demand within a loan, long enough for a few calls a second. */
    static constexpr double TimeConstantSeconds = 0.1;

    DemandEstimate() = default;

    /** @return The estimate after count more events. */
    [[nodiscard]] DemandEstimate with(double count, core::TimePoint now) const;
    /** @return Events per second. */
    [[nodiscard]] double rate(core::TimePoint now) const;
    [[nodiscard]] bool operator==(const DemandEstimate &) const = default;

private:
    double m_rate = 0;
    core::TimePoint m_updatedAt{};
};

}
