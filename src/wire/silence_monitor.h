#pragma once

#include "berylspring/core/time.h"

#include <algorithm>
#include <compare>

namespace berylspring::wire::detail {

/** @brief Detects a peer from which nothing was received for too long. Immutable. */
class SilenceMonitor
{
public:
    /**
     * @param interval Nominal time between ticks.
     * @param limit Time without a received frame after which the peer counts as silent.
     * @param now Start of the connection.
     */
    SilenceMonitor(core::Duration interval, core::Duration limit, core::TimePoint now) noexcept
        : m_interval(interval)
        , m_limit(limit)
        , m_lastReceipt(now)
        , m_lastTick(now)
    {
    }

    /** @return The monitor after a frame was received. */
    [[nodiscard]] SilenceMonitor withReceipt(core::TimePoint now) const noexcept
    {
        SilenceMonitor next = *this;
        next.m_lastReceipt = now;
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
        }
        next.m_lastTick = now;
        return next;
    }

    [[nodiscard]] bool isSilent(core::TimePoint now) const noexcept
    {
        return now - m_lastReceipt >= m_limit;
    }

    [[nodiscard]] bool operator==(const SilenceMonitor &) const = default;

private:
    core::Duration m_interval;
    core::Duration m_limit;
    core::TimePoint m_lastReceipt;
    core::TimePoint m_lastTick;
};

}
