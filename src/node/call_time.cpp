#include "berylspring/node/call_time.h"

#include <chrono>

namespace berylspring::node {

namespace {

// Constants of RFC 6298.
constexpr int MeanWeight = 8;
constexpr int DeviationWeight = 4;
constexpr int DeviationFactor = 4;

}

CallTime CallTime::withSample(core::Duration time) const
{
    CallTime next = *this;
    if (m_hasSample) {
        next.m_deviation += (std::chrono::abs(time - m_mean) - m_deviation) / DeviationWeight;
        next.m_mean += (time - m_mean) / MeanWeight;
    } else {
        next.m_hasSample = true;
        next.m_mean = time;
        next.m_deviation = time / 2;
    }
    return next;
}

core::Duration CallTime::upperEstimate() const noexcept
{
    return m_mean + DeviationFactor * m_deviation;
}

}
