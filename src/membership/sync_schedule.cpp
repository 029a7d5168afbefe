#include "berylspring/membership/sync_schedule.h"

#include "berylspring/membership/timing.h"

namespace berylspring::membership {

namespace {

/** A transfer may lose datagrams or come from a member that has only just joined. */
constexpr int TransfersPerRequest = 3;

}

void SyncSchedule::request(const std::optional<core::HostId> &from)
{
    const std::scoped_lock lock(m_mutex);
    m_remaining = TransfersPerRequest;
    m_from = from;
}

SyncSchedule::Step SyncSchedule::next(core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto interval = m_remaining == 1 ? LastSyncInterval : SyncInterval;
    if (m_remaining == 0 || (m_lastRequest && now - *m_lastRequest < interval)) {
        return {};
    }
    Step step{true, m_from};
    m_from.reset();
    return step;
}

void SyncSchedule::markRequested(core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    --m_remaining;
    m_lastRequest = now;
}

}
