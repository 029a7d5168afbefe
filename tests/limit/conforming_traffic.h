#pragma once

#include "limit/fleet.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace berylspring::test {

using namespace std::chrono_literals;

/** Time after the start at which the initially empty buckets of all owners are full. */
inline constexpr core::Duration Settled = 20s;

[[nodiscard]] inline FleetPlan fleetWith(limit::WorkspaceLimit limit)
{
    FleetPlan plan;
    plan.limit = limit;
    return plan;
}

/** @brief Sends requests that one bucket with the whole limit would admit. */
class ConformingTraffic
{
public:
    /**
     * @param fleet Where to send them.
     * @param limit The limit.
     * @param utilisation Attempts per second as a fraction of the rate.
     * @param hostAt Host that receives a request at the given time.
     */
    ConformingTraffic(Fleet &fleet,
                      limit::WorkspaceLimit limit,
                      double utilisation,
                      std::function<int(core::Duration)> hostAt)
        : m_fleet(fleet)
        , m_limit(limit)
        , m_utilisation(utilisation)
        , m_hostAt(std::move(hostAt))
        , m_tokens(limit.burst())
    {
    }

    void sendBetween(core::Duration from, core::Duration to)
    {
        const core::Duration interval = limit::durationOf(1 / (m_limit.rate() * m_utilisation));
        for (core::Duration time = from; time < to; time += interval) {
            send(time);
        }
    }
    void send(core::Duration time)
    {
        m_tokens = std::min(m_limit.burst(), m_tokens + m_limit.rate() * limit::seconds(time - m_last));
        m_last = time;
        if (m_tokens >= 1) {
            m_tokens -= 1;
            ++m_sent;
            const int host = m_hostAt(time);
            m_fleet.at(time, [this, host] { m_fleet.request(host); });
        }
    }
    [[nodiscard]] int sent() const
    {
        return m_sent;
    }

private:
    Fleet &m_fleet;
    limit::WorkspaceLimit m_limit;
    double m_utilisation;
    std::function<int(core::Duration)> m_hostAt;
    double m_tokens;
    core::Duration m_last{};
    int m_sent = 0;
};

}
