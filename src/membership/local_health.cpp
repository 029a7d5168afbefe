#include "berylspring/membership/local_health.h"

#include "berylspring/membership/timing.h"

#include <algorithm>

namespace berylspring::membership {

void LocalHealth::tickWasLate()
{
    const std::scoped_lock lock(m_mutex);
    m_score = std::min(m_score + 1, MaxScore);
}

void LocalHealth::probeAnswered()
{
    const std::scoped_lock lock(m_mutex);
    m_missesInARow = 0;
    m_score = std::max(m_score - 1, 0);
}

void LocalHealth::probeMissed()
{
    const std::scoped_lock lock(m_mutex);
    ++m_missesInARow;
    if (m_missesInARow >= TrustedMissesInARow) {
        m_score = std::min(m_score + 1, MaxScore);
    }
}

int LocalHealth::score() const
{
    const std::scoped_lock lock(m_mutex);
    return m_score;
}

int LocalHealth::ackStretch() const
{
    return 1 + score();
}

core::Duration LocalHealth::suspicionTime() const
{
    constexpr int PointsPerSuspicionTime = 4;
    return SuspicionTime + SuspicionTime * score() / PointsPerSuspicionTime;
}

}
