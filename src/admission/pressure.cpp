#include "berylspring/admission/pressure.h"

#include <algorithm>
#include <cmath>

namespace berylspring::admission {

namespace {

/** Weight of the prior assumption of no pressure, in samples; it reduces the effect of a single sample. */
constexpr double PriorWeight = 0.5;

double decayFactor(core::Duration age) noexcept
{
    const auto positive = static_cast<double>(std::max(core::Duration::zero(), age).count());
    return std::exp(-positive / static_cast<double>(Pressure::TimeConstant.count()));
}

}

Pressure Pressure::withSample(double sample, core::TimePoint now) const noexcept
{
    const double decay = decayFactor(now - m_at);
    Pressure next;
    next.m_sum = m_sum * decay + std::clamp(sample, 0.0, MaxSample);
    next.m_weight = m_weight * decay + 1;
    next.m_at = std::max(m_at, now);
    return next;
}

double Pressure::value(core::TimePoint now) const noexcept
{
    const double decay = decayFactor(now - m_at);
    return m_sum * decay / (m_weight * decay + PriorWeight);
}

}
