#include "berylspring/telemetry/loop_delay.h"

#include <algorithm>

namespace berylspring::telemetry {

LoopDelay LoopDelay::withTimer(core::TimePoint due, core::TimePoint now) const noexcept
{
    const core::Duration delay = std::max<core::Duration>(core::Duration::zero(), now - due);
    LoopDelay next = *this;
    ++next.m_timers;
    next.m_sum += delay;
    next.m_longest = std::max(m_longest, delay);
    return next;
}

core::Duration LoopDelay::mean() const noexcept
{
    return m_timers == 0 ? core::Duration::zero() : m_sum / m_timers;
}

}
