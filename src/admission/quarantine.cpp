#include "berylspring/admission/quarantine.h"

#include <algorithm>
#include <optional>

namespace berylspring::admission {

namespace {

/** A request is quarantined when it ran during this many crashes, alone during the last one. */
constexpr std::uint32_t CrashesToQuarantine = 2;

}

QuarantineState Quarantine::Entry::state(core::TimePoint now) const noexcept
{
    if (now < quarantinedUntil) {
        return QuarantineState::Quarantined;
    }
    return now < suspectUntil ? QuarantineState::Suspect : QuarantineState::Clear;
}

Quarantine::Quarantine(core::Duration duration, core::Duration suspicion)
    : m_duration(duration)
    , m_suspicion(suspicion)
{
}

QuarantineState Quarantine::state(const core::Digest &digest, core::TimePoint now) const
{
    const auto entry = m_entries.find(digest);
    return entry ? entry->state(now) : QuarantineState::Clear;
}

core::Duration Quarantine::remaining(const core::Digest &digest, core::TimePoint now) const
{
    const auto entry = m_entries.find(digest);
    return entry && now < entry->quarantinedUntil ? entry->quarantinedUntil - now : core::Duration::zero();
}

bool Quarantine::hasRoom(core::TimePoint now)
{
    if (m_entries.size() >= MaxEntries) {
        expire(now);
    }
    return m_entries.size() < MaxEntries;
}

QuarantineState Quarantine::crashed(const core::Digest &digest, bool ranAlone, core::TimePoint now)
{
    const bool mayInsert = hasRoom(now);
    return m_entries.update(digest, [&](std::optional<Entry> &entry) {
        if (!entry && !mayInsert) {
            return QuarantineState::Clear;
        }
        Entry next = entry.value_or(Entry{});
        if (next.state(now) == QuarantineState::Clear) {
            next.crashes = 0;
        }
        ++next.crashes;
        next.suspectUntil = now + m_suspicion;
        if (ranAlone && next.crashes >= CrashesToQuarantine) {
            next.quarantinedUntil = std::max(next.quarantinedUntil, now + m_duration);
        }
        entry = next;
        return next.state(now);
    });
}

void Quarantine::answered(const core::Digest &digest, core::TimePoint now)
{
    m_entries.update(digest, [&](std::optional<Entry> &entry) {
        if (entry && entry->state(now) != QuarantineState::Quarantined) {
            entry.reset();
        }
    });
}

void Quarantine::suspect(const core::Digest &digest, core::TimePoint now)
{
    crashed(digest, false, now);
}

void Quarantine::quarantine(const core::Digest &digest, core::Duration remaining, core::TimePoint now)
{
    const bool mayInsert = hasRoom(now);
    const core::TimePoint until = now + std::min(remaining, m_duration);
    m_entries.update(digest, [&](std::optional<Entry> &entry) {
        if (!entry && !mayInsert) {
            return;
        }
        Entry next = entry.value_or(Entry{});
        next.quarantinedUntil = std::max(next.quarantinedUntil, until);
        entry = next;
    });
}

void Quarantine::expire(core::TimePoint now)
{
    m_entries.eraseIf(
        [&](const core::Digest &, const Entry &entry) { return entry.state(now) == QuarantineState::Clear; });
}

}
