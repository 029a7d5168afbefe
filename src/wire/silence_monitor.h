#pragma once

#include "berylspring/core/time.h"

#include <algorithm>
#include <compare>
#include <optional>

namespace berylspring::wire::detail {

/** @brief Detects a peer from which nothing was received for too long. Immutable. */
class SilenceMonitor
{
public:
    /**
     * @param interval Nominal time between ticks.
     * @param limit Time after which a peer that owes a frame counts as silent.
     * @param idleLimit The same for a peer that owes none.
     * @param now Start of the connection, at which the peer owes its part of the handshake.
     */
    SilenceMonitor(core::Duration interval,
                   core::Duration limit,
                   core::Duration idleLimit,
                   core::TimePoint now) noexcept
        : m_interval(interval)
        , m_limit(limit)
        , m_idleLimit(idleLimit)
        , m_lastReceipt(now)
        , m_lastTick(now)
        , m_owedSince(now)
    {
    }

    /** @return The monitor after a frame was received. */
    [[nodiscard]] SilenceMonitor withReceipt(core::TimePoint now) const noexcept
    {
        SilenceMonitor next = *this;
        next.m_lastReceipt = now;
        next.m_owedSince.reset();
        return next;
    }

    /** @return The monitor after a frame was sent to which the peer reacts within its next tick. */
    [[nodiscard]] SilenceMonitor withFrameOwed(core::TimePoint now) const noexcept
    {
        SilenceMonitor next = *this;
        next.m_owedSince = m_owedSince.value_or(now);
        return next;
    }

    /**
     * @return The monitor after a tick. The delay of a late tick does not count as silence of the peer, because a
     * paused process has not read what the peer sent meanwhile.
     */
    [[nodiscard]] SilenceMonitor ticked(core::TimePoint now) const noexcept
    {
        SilenceMonitor next = *this;
        const auto late = now - m_lastTick - m_interval;
        if (late > core::Duration::zero()) {
            next.m_lastReceipt = std::min(next.m_lastReceipt + late, now);
            if (next.m_owedSince) {
                next.m_owedSince = std::min(*next.m_owedSince + late, now);
            }
        }
        next.m_lastTick = now;
        return next;
    }

    [[nodiscard]] bool isSilent(core::TimePoint now) const noexcept
    {
        return now - m_lastReceipt >= m_idleLimit || (m_owedSince && now - *m_owedSince >= m_limit);
    }

    [[nodiscard]] bool operator==(const SilenceMonitor &) const = default;

private:
    core::Duration m_interval;
    core::Duration m_limit;
    core::Duration m_idleLimit;
    core::TimePoint m_lastReceipt;
    core::TimePoint m_lastTick;
    std::optional<core::TimePoint> m_owedSince; ///< Sending of the first frame since the last receipt.
};

}
