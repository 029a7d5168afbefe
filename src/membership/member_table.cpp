#include "berylspring/membership/member_table.h"

#include "berylspring/membership/timing.h"

#include <algorithm>

namespace berylspring::membership {

namespace {

bool isLiveState(wire::MemberState state)
{
    return state == wire::MemberState::Alive || state == wire::MemberState::Suspect;
}

/** Whether the records differ in more than load, admitted level and applied offset. */
bool isStructuralDifference(const wire::MemberUpdate &left, const wire::MemberUpdate &right)
{
    if (left->state != right->state || left->dataCentre != right->dataCentre || left->address != right->address
        || left->port != right->port || left->endpoint.has_value() != right->endpoint.has_value()) {
        return true;
    }
    if (!left->endpoint) {
        return false;
    }
    const auto &leftEndpoint = *left->endpoint;
    const auto &rightEndpoint = *right->endpoint;
    return leftEndpoint->service != rightEndpoint->service || leftEndpoint->slots != rightEndpoint->slots
           || leftEndpoint->isDraining != rightEndpoint->isDraining
           || leftEndpoint->coldRate != rightEndpoint->coldRate;
}

wire::MemberState stateAfter(const wire::MemberUpdate &known, const wire::MemberUpdate &received, RecordSource source)
{
    if (received->incarnation < known->incarnation) {
        return known->state;
    }
    auto state = received->state;
    // Includes a death in a higher incarnation; otherwise the result would depend on the order of the updates.
    const bool isNewsOfDeath = received->incarnation > known->incarnation || isLiveState(known->state);
    if (state == wire::MemberState::Dead && source == RecordSource::Other && isNewsOfDeath) {
        state = wire::MemberState::Suspect;
    }
    return received->incarnation > known->incarnation ? state : std::max(known->state, state);
}

wire::MemberUpdate merged(const wire::MemberUpdate &known, const wire::MemberUpdate &received, RecordSource source)
{
    const bool isNewerContent = received->incarnation > known->incarnation
                                || (received->incarnation == known->incarnation && received->version > known->version);
    return (isNewerContent ? received : known)
        .with(&wire::MemberUpdateFields::state, stateAfter(known, received, source));
}

/** Whether the local record must be sent to the sender, because the received one does not supersede it. */
bool contradicts(const wire::MemberUpdate &known, const wire::MemberUpdate &received)
{
    if (known->incarnation != received->incarnation) {
        return known->incarnation > received->incarnation;
    }
    return known->state > received->state || known->version > received->version
           || (known->version == received->version
               && known.with(&wire::MemberUpdateFields::state, received->state) != received);
}

}

MergeOutcome MemberTable::merge(const wire::MemberUpdate &update, RecordSource source, core::TimePoint now)
{
    Shard &shard = shardOf(update->host);
    const std::scoped_lock lock(shard.mutex);
    const auto found = shard.members.find(update->host);
    if (found == shard.members.end()) {
        return insert(shard, update, source, now);
    }
    const Member known = found->second;
    auto record = merged(known.record(), update, source);
    const bool isChanged = isStructuralDifference(known.record(), record);
    const auto lastSeenAt = source == RecordSource::Member ? now : known.lastSeenAt();
    if (record == known.record() && lastSeenAt == known.lastSeenAt()) {
        MergeOutcome unchanged;
        if (contradicts(known.record(), update)) {
            unchanged.contradiction = known;
        }
        return unchanged;
    }
    const bool isNewState = record->state != known.state() || record->incarnation != known.incarnation();
    const Member member(std::move(record), lastSeenAt, isNewState ? now : known.stateSince());
    // The reporter of a death has already waited for a refutation, so half of the suspicion time is enough here.
    const bool isReportedDeath =
        update->state == wire::MemberState::Dead && member.state() == wire::MemberState::Suspect;
    store(shard, member, isReportedDeath ? now - SuspicionTime / 2 : now);
    MergeOutcome outcome;
    // A higher incarnation is gossiped even without another change, so that it overrides suspicions elsewhere.
    if (isChanged || member.incarnation() != known.incarnation()) {
        ++m_structureRevision;
        outcome.changed = member;
    }
    if (contradicts(member.record(), update)) {
        outcome.contradiction = member;
    }
    outcome.isNew = !known.isLive() && member.isLive();
    outcome.hasHigherOffset = member.appliedOffset() > known.appliedOffset();
    return outcome;
}

MergeOutcome
MemberTable::insert(Shard &shard, const wire::MemberUpdate &update, RecordSource source, core::TimePoint now)
{
    MergeOutcome outcome;
    if (update->state != wire::MemberState::Alive) {
        return outcome;
    }
    const Member member(update, source == RecordSource::Member ? now : core::TimePoint{}, now);
    store(shard, member, now);
    ++m_structureRevision;
    outcome.changed = member;
    outcome.isNew = true;
    outcome.hasHigherOffset = member.appliedOffset() > 0;
    return outcome;
}

void MemberTable::store(Shard &shard, const Member &member, core::TimePoint timerStart)
{
    ++m_contentRevision;
    const auto found = shard.members.find(member.host());
    const bool isSameState = found != shard.members.end() && found->second.state() == member.state()
                             && found->second.incarnation() == member.incarnation();
    shard.members.insert_or_assign(member.host(), member);
    if (member.state() == wire::MemberState::Alive) {
        shard.timers.erase(member.host());
    } else if (!isSameState) {
        shard.timers.insert_or_assign(member.host(), ExpiryTimer{timerStart});
    }
}

std::optional<Member> MemberTable::suspect(const core::HostId &host, std::uint64_t incarnation, core::TimePoint now)
{
    Shard &shard = shardOf(host);
    const std::scoped_lock lock(shard.mutex);
    const auto found = shard.members.find(host);
    if (found == shard.members.end() || found->second.state() != wire::MemberState::Alive
        || found->second.incarnation() != incarnation) {
        return std::nullopt;
    }
    const Member member(found->second.record().with(&wire::MemberUpdateFields::state, wire::MemberState::Suspect),
                        found->second.lastSeenAt(),
                        now);
    store(shard, member, now);
    ++m_structureRevision;
    return member;
}

ExpiryOutcome MemberTable::expire(core::TimePoint now, core::Duration suspicionTime)
{
    ExpiryOutcome outcome;
    for (auto &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        if (!shard.timers.empty()) {
            expireShard(shard, now, suspicionTime, outcome);
        }
    }
    return outcome;
}

void MemberTable::expireShard(Shard &shard, core::TimePoint now, core::Duration suspicionTime, ExpiryOutcome &outcome)
{
    for (auto timer = shard.timers.begin(); timer != shard.timers.end();) {
        const auto found = shard.members.find(timer->first);
        if (found->second.state() == wire::MemberState::Suspect) {
            if (expireSuspect(shard, timer->second, found->second, now, suspicionTime, outcome)) {
                timer->second = ExpiryTimer{now};
            } else {
                outcome.suspects.push_back(found->second);
            }
        } else if (now - timer->second.since >= DeadRetention) {
            shard.members.erase(found);
            timer = shard.timers.erase(timer);
            ++m_structureRevision;
            ++outcome.removed;
            continue;
        }
        ++timer;
    }
}

bool MemberTable::expireSuspect(Shard &shard,
                                ExpiryTimer &timer,
                                const Member &member,
                                core::TimePoint now,
                                core::Duration suspicionTime,
                                ExpiryOutcome &outcome)
{
    // A suspect that sent a datagram during the suspicion is alive, even if its refutation has not arrived yet.
    timer.since = std::max(timer.since, member.lastSeenAt());
    if (!timer.isReported && now - timer.since >= suspicionTime / 2) {
        timer.isReported = true;
        outcome.toVerify.push_back(member);
    }
    if (now - timer.since < suspicionTime) {
        return false;
    }
    const Member dead(
        member.record().with(&wire::MemberUpdateFields::state, wire::MemberState::Dead), member.lastSeenAt(), now);
    shard.members.insert_or_assign(dead.host(), dead);
    ++m_structureRevision;
    ++m_contentRevision;
    outcome.died.push_back(dead);
    return true;
}

void MemberTable::extendSuspicions(core::Duration gap)
{
    for (auto &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        for (auto &[host, timer] : shard.timers) {
            timer.since += gap;
        }
    }
}

std::optional<Member> MemberTable::find(const core::HostId &host) const
{
    const Shard &shard = shardOf(host);
    const std::scoped_lock lock(shard.mutex);
    const auto found = shard.members.find(host);
    return found == shard.members.end() ? std::nullopt : std::optional<Member>(found->second);
}

std::size_t MemberTable::size() const
{
    std::size_t total = 0;
    for (const auto &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        total += shard.members.size();
    }
    return total;
}

void MemberTable::forEach(const std::function<void(const Member &)> &visit) const
{
    for (const auto &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        for (const auto &[host, member] : shard.members) {
            visit(member);
        }
    }
}

MemberTable::Shard &MemberTable::shardOf(const core::HostId &host)
{
    return m_shards[std::hash<core::HostId>{}(host) % ShardCount];
}

const MemberTable::Shard &MemberTable::shardOf(const core::HostId &host) const
{
    return m_shards[std::hash<core::HostId>{}(host) % ShardCount];
}

}
