#pragma once

#include "berylspring/core/time.h"
#include "berylspring/http/endpoint_announcement.h"

#include <cstddef>
#include <mutex>
#include <vector>

namespace berylspring::node::detail {

/** @brief A heartbeat that has not been applied yet. */
struct HeldHeartbeat
{
    http::EndpointHeartbeat heartbeat;
    core::TimePoint receivedAt;
    [[nodiscard]] bool operator==(const HeldHeartbeat &) const = default;
};

/**
 * @brief Holds heartbeats back until the leaves that earlier processes of this host have acknowledged are known.
 * Thread-safe.
 */
class HeartbeatGate
{
public:
    /** Bounds the held heartbeats; the oldest are dropped, since an endpoint repeats them. */
    static constexpr std::size_t MaxHeld = 32;

    explicit HeartbeatGate(bool isOpen);

    /** @return Whether the heartbeat was held back, for open() to return it. */
    [[nodiscard]] bool hold(const http::EndpointHeartbeat &heartbeat, core::TimePoint now);
    /** @brief Holds no heartbeat back from now on. @return The heartbeats held so far, in the order of arrival. */
    [[nodiscard]] std::vector<HeldHeartbeat> open();

private:
    std::mutex m_mutex;
    bool m_isOpen;
    std::vector<HeldHeartbeat> m_held;
};

}
