#include "berylspring/admission/cold_state.h"

#include <algorithm>

namespace berylspring::admission {

std::string_view toString(ColdReason reason) noexcept
{
    switch (reason) {
    case ColdReason::Reported:
        return "reported";
    case ColdReason::ConnectionFailed:
        return "connection-failed";
    case ColdReason::HeartbeatOverdue:
        return "heartbeat-overdue";
    case ColdReason::TakenBack:
        return "taken-back";
    }
    return "unknown";
}

ColdState ColdState::withHeartbeat(core::Duration coldFor, core::TimePoint now) const noexcept
{
    ColdState copy = *this;
    copy.m_heartbeatAt = now;
    copy.m_reportedUntil = now + coldFor;
    copy.m_hasFailed = false;
    ++copy.m_revision;
    return copy;
}

ColdState ColdState::withConnectionFailure() const noexcept
{
    ColdState copy = *this;
    copy.m_hasFailed = true;
    ++copy.m_revision;
    return copy;
}

ColdState ColdState::withReturn(core::Duration coldTime, core::TimePoint now) const noexcept
{
    ColdState copy = *this;
    copy.m_takenBackUntil = std::max(m_takenBackUntil, now + coldTime);
    ++copy.m_revision;
    return copy;
}

bool ColdState::isOverdue(core::TimePoint now) const noexcept
{
    return !m_heartbeatAt || now - *m_heartbeatAt > m_heartbeatTimeout;
}

std::optional<ColdReason> ColdState::reason(core::TimePoint now) const noexcept
{
    if (m_hasFailed) {
        return ColdReason::ConnectionFailed;
    }
    if (isOverdue(now)) {
        return ColdReason::HeartbeatOverdue;
    }
    if (now >= std::max(m_reportedUntil, m_takenBackUntil)) {
        return std::nullopt;
    }
    return m_reportedUntil >= m_takenBackUntil ? ColdReason::Reported : ColdReason::TakenBack;
}

std::optional<core::TimePoint> ColdState::warmAt(core::TimePoint now) const noexcept
{
    if (m_hasFailed || isOverdue(now)) {
        return std::nullopt;
    }
    return std::max({now, m_reportedUntil, m_takenBackUntil});
}

}
