#include "berylspring/admission/outstanding_work.h"

#include <chrono>

namespace berylspring::admission {

OutstandingWork::Share::Share(OutstandingWork &work, routing::CostClass costClass)
    : m_work(work)
    , m_costClass(costClass)
{
    const std::scoped_lock lock(m_work.m_mutex);
    m_seconds = m_work.m_costs.estimate(costClass).mean();
    m_work.m_seconds += m_seconds;
    ++m_work.m_requests;
}

OutstandingWork::Share::~Share()
{
    release();
}

void OutstandingWork::Share::release()
{
    if (m_isReleased) {
        return;
    }
    m_isReleased = true;
    const std::scoped_lock lock(m_work.m_mutex);
    --m_work.m_requests;
    // An idle endpoint starts again at exactly 0, so that rounding errors don't add up.
    m_work.m_seconds = m_work.m_requests == 0 ? 0 : m_work.m_seconds - m_seconds;
}

void OutstandingWork::Share::learn(core::Duration serviceTime, core::TimePoint now)
{
    const std::scoped_lock lock(m_work.m_mutex);
    m_work.m_costs.record(m_costClass, std::chrono::duration<double>(serviceTime).count(), now);
}

double OutstandingWork::seconds() const
{
    const std::scoped_lock lock(m_mutex);
    return m_seconds;
}

}
