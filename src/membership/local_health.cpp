#include "berylspring/membership/local_health.h"

#include "berylspring/membership/timing.h"

#include <algorithm>

namespace berylspring::membership {

void LocalHealth::recordLateTick()
{
    const std::scoped_lock lock(m_mutex);
    m_score = std::min(m_score + 1, MaxScore);
}

void LocalHealth::recordAck()
{
    const std::scoped_lock lock(m_mutex);
    m_consecutiveMisses = 0;
    m_score = std::max(m_score - 1, 0);
}

void LocalHealth::recordMissedAck()
{
    const std::scoped_lock lock(m_mutex);
    ++m_consecutiveMisses;
    if (m_consecutiveMisses >= MissThreshold) {
        m_score = std::min(m_score + 1, MaxScore);
    }
}

int LocalHealth::score() const
{
    const std::scoped_lock lock(m_mutex);
    return m_score;
}

int LocalHealth::ackTimeoutFactor() const
{
    return 1 + score();
}

core::Duration LocalHealth::suspicionTime() const
{
    constexpr int PointsPerSuspicionTime = 4;
    return SuspicionTime + SuspicionTime * score() / PointsPerSuspicionTime;
}

}
