#include "berylspring/membership/sync_plan.h"

#include "berylspring/membership/timing.h"

namespace berylspring::membership {

namespace {

/** One transfer may lose datagrams or come from a member that has only just joined itself. */
constexpr int TransfersPerRequest = 2;

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
    std::erase_if(m_running, [&](const auto &entry) { return now - entry.second >= SyncInterval; });
    if (m_wanted == 0 || (m_lastBegan && now - *m_lastBegan < SyncInterval)) {
        return {};
    }
    --m_wanted;
    Step step{true, m_from};
    m_from.reset();
    return step;
}

void SyncPlan::began(const core::HostId &from, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_lastBegan = now;
    m_running.insert_or_assign(from, now);
}

bool SyncPlan::isSyncingFrom(const core::HostId &from, core::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_running.find(from);
    return found != m_running.end() && now - found->second < SyncInterval;
}

}
