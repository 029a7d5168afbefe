#include "berylspring/membership/sync_plan.h"

#include "berylspring/membership/timing.h"

namespace berylspring::membership {

namespace {

/** A transfer may lose datagrams or come from a member that has only just joined. */
constexpr int TransfersPerRequest = 3;

}

void SyncPlan::request(const std::optional<core::HostId> &from)
{
    const std::scoped_lock lock(m_mutex);
    m_wanted = TransfersPerRequest;
    m_from = from;
}

SyncPlan::Step SyncPlan::next(core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto interval = m_wanted == 1 ? LastSyncInterval : SyncInterval;
    if (m_wanted == 0 || (m_lastBegan && now - *m_lastBegan < interval)) {
        return {};
    }
    Step step{true, m_from};
    m_from.reset();
    return step;
}

void SyncPlan::began(core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    --m_wanted;
    m_lastBegan = now;
}

}
