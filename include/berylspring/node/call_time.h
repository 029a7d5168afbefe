#pragma once

#include "berylspring/core/time.h"

#include <compare>

namespace berylspring::node {

/**
 * @brief Estimate of the time that a call takes, from the times of earlier calls: smoothed mean and mean deviation, as
 * the retransmission timer of TCP has them (RFC 6298, section 2).
 */
class CallTime
{
public:
    /** @return The estimate after one more call. */
    [[nodiscard]] CallTime withSample(core::Duration time) const;
    /** @return A time that few calls exceed; zero without samples. */
    [[nodiscard]] core::Duration upperEstimate() const noexcept;
    [[nodiscard]] bool operator==(const CallTime &) const = default;

private:
    bool m_hasSample = false;
    core::Duration m_mean{};
    core::Duration m_deviation{};
};

}
