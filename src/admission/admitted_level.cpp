#include "berylspring/admission/admitted_level.h"

namespace berylspring::admission {

core::PriorityLevel AdmittedLevel::level(core::TimePoint now) const noexcept
{
    const auto lowered = (now - m_pressureAt) / DecayInterval;
    return lowered >= m_level ? core::PriorityLevel{0} : static_cast<core::PriorityLevel>(m_level - lowered);
}

AdmittedLevel AdmittedLevel::withPressure(core::PriorityLevel lowest, core::TimePoint now) const noexcept
{
    AdmittedLevel next = *this;
    if (lowest >= level(now)) {
        next.m_level = lowest;
        next.m_pressureAt = now;
    }
    return next;
}

}
