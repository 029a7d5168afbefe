#include "berylspring/membership/snapshot_cache.h"

#include <chrono>
#include <utility>

namespace berylspring::membership {

namespace {

using namespace std::chrono_literals;

/** A rebuild takes about 0.25 us per member, so this bounds its share of a core at about 5% during mass changes. */
constexpr core::Duration StructureIntervalPerMember = 5us;
/** Bounds the share at about 0.5%, since load and Member::lastSeenAt() change all the time. */
constexpr core::Duration ContentIntervalPerMember = 50us;

}

std::shared_ptr<const MemberSnapshot>
SnapshotCache::current(const MemberTable &table, const SelfRecord &self, core::TimePoint now) const
{
    const Revision revision{
        table.structureRevision(), table.contentRevision(), self.revision(), self.structureRevision()};
    {
        const std::scoped_lock lock(m_mutex);
        if (m_snapshot && (m_isBuilding || !isOutdated(revision, now))) {
            return m_snapshot;
        }
        m_isBuilding = true;
    }
    std::vector<Member> members;
    members.reserve(table.size() + 1);
    members.push_back(self.member(now));
    table.forEach([&](const Member &member) { members.push_back(member); });
    auto snapshot = std::make_shared<const MemberSnapshot>(std::move(members));

    const std::scoped_lock lock(m_mutex);
    m_isBuilding = false;
    m_revision = revision;
    m_builtAt = now;
    m_snapshot = snapshot;
    return snapshot;
}

bool SnapshotCache::isOutdated(const Revision &revision, core::TimePoint now) const
{
    if (revision.selfStructure != m_revision.selfStructure) {
        return true;
    }
    const auto count = static_cast<core::Duration::rep>(m_snapshot->members().size());
    const auto age = now - m_builtAt;
    if (revision.structure != m_revision.structure && age >= count * StructureIntervalPerMember) {
        return true;
    }
    return (revision.content != m_revision.content || revision.self != m_revision.self)
           && age >= count * ContentIntervalPerMember;
}

}
