#include "berylspring/admission/entry_shedding.h"

#include "berylspring/admission/admitted_level.h"

#include <utility>

std::size_t std::hash<berylspring::admission::EndpointKey>::operator()(
    const berylspring::admission::EndpointKey &key) const noexcept
{
    constexpr std::size_t Multiplier = 31;
    return std::hash<std::string>{}(key.host.value()) * Multiplier + std::hash<std::string>{}(key.service.value());
}

namespace berylspring::admission {

core::PriorityLevel EntryShedding::KnownLevel::levelAt(core::TimePoint now) const noexcept
{
    const core::Duration age = now - receivedAt;
    if (age <= HoldTime) {
        return level;
    }
    const auto lowered = (age - HoldTime) / AdmittedLevel::DecayInterval;
    return lowered >= level ? core::PriorityLevel{0} : static_cast<core::PriorityLevel>(level - lowered);
}

EntryShedding::EntryShedding(core::RandomSource random)
    : m_random(std::move(random))
{
}

void EntryShedding::recordLevel(const EndpointKey &endpoint, core::PriorityLevel level, core::TimePoint now)
{
    if (level == 0) {
        m_known.erase(endpoint);
    } else {
        m_known.insertOrAssign(endpoint, KnownLevel{level, now});
    }
}

core::PriorityLevel EntryShedding::level(const EndpointKey &endpoint, core::TimePoint now) const
{
    const auto known = m_known.find(endpoint);
    return known ? known->levelAt(now) : core::PriorityLevel{0};
}

bool EntryShedding::admits(const EndpointKey &endpoint, core::PriorityLevel priority, core::TimePoint now) const
{
    return priority >= level(endpoint, now) || m_random() % ProbeInterval == 0;
}

void EntryShedding::expire(core::TimePoint now)
{
    m_known.eraseIf([&](const EndpointKey &, const KnownLevel &known) { return known.levelAt(now) == 0; });
}

}
