#include "node/heartbeat_gate.h"

#include <utility>

namespace berylspring::node::detail {

HeartbeatGate::HeartbeatGate(bool isOpen)
    : m_isOpen(isOpen)
{
}

bool HeartbeatGate::hold(const http::EndpointHeartbeat &heartbeat, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_isOpen) {
        return false;
    }
    if (m_held.size() >= MaxHeld) {
        m_held.erase(m_held.begin());
    }
    m_held.push_back({heartbeat, now});
    return true;
}

std::vector<HeldHeartbeat> HeartbeatGate::open()
{
    const std::scoped_lock lock(m_mutex);
    m_isOpen = true;
    return std::exchange(m_held, {});
}

}
