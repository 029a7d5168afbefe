#include "berylspring/limit/demand_estimate.h"

#include "berylspring/limit/token_bucket.h"

#include <cmath>

namespace berylspring::limit {

DemandEstimate DemandEstimate::with(double count, core::TimePoint now) const
{
    DemandEstimate next(m_timeConstant);
    next.m_rate = rate(now) + count / m_timeConstant;
    next.m_updatedAt = std::max(now, m_updatedAt);
    return next;
}

double DemandEstimate::rate(core::TimePoint now) const
{
    if (m_rate == 0 || now <= m_updatedAt) {
        return m_rate;
    }
    return m_rate * std::exp(-seconds(now - m_updatedAt) / m_timeConstant);
}

}
