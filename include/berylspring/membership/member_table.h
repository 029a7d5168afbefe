#pragma once

#include "berylspring/core/time.h"
#include "berylspring/membership/member.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace berylspring::membership {

/** @brief Who gave a record. */
enum class RecordSource {
    Member, ///< The member itself, in its own datagram.
    Other, ///< Another member.
};

/** @brief What merging a record changed. */
struct MergeOutcome
{
    std::optional<Member> changed; ///< The member, when its state, address or service changed or it is new.
    std::optional<Member> contradiction; ///< What is known here, when it is not older than the record and differs.
    bool isNew = false; ///< The host was not known, or was dead or left.
    bool hasHigherOffset = false; ///< The record raised the applied offset of the member.
    [[nodiscard]] bool operator==(const MergeOutcome &) const = default;
};

/** @brief What time alone changed. */
struct ExpiryOutcome
{
    std::vector<Member> died; ///< Suspicions that nobody refuted.
    std::vector<Member> suspects; ///< All that are suspect now.
    std::vector<Member> unverified; ///< Suspicions that passed half of their time; each is reported once.
    std::size_t forgotten = 0; ///< Dead and left members whose retention is over.
    [[nodiscard]] bool operator==(const ExpiryOutcome &) const = default;
};

/**
 * @brief The other members, in shards with a mutex each, and the merge rules of SWIM.
 *
 * Within one incarnation the states rank alive, suspect, dead, left, and the version orders the applied offset and
 * the endpoint. A higher incarnation replaces the record. That another member considers a live member dead only
 * starts a suspicion here, with half of the time: each member waits for the refutation itself, so a single confused
 * member ejects nobody.
 * Unknown hosts are added only as alive, so that late news of a forgotten host does not revive it.
 */
class MemberTable
{
public:
    static constexpr std::size_t ShardCount = 16;

    MergeOutcome merge(const wire::MemberUpdate &update, RecordSource source, core::TimePoint now);

    /** @return The member, if it was alive in that incarnation and is suspect now. */
    std::optional<Member> suspect(const core::HostId &host, std::uint64_t incarnation, core::TimePoint now);

    /**
     * @brief Declares unrefuted suspects dead and forgets old dead and left members.
     * @param now The current time.
     * @param suspicionTime How long a suspect has to refute.
     */
    ExpiryOutcome expire(core::TimePoint now, core::Duration suspicionTime);

    /** @brief Extends the running suspicions by a time in which this process did not run. */
    void extendSuspicions(core::Duration gap);

    [[nodiscard]] std::optional<Member> find(const core::HostId &host) const;
    [[nodiscard]] std::size_t size() const;

    /** @brief Calls visit for each member, one shard at a time, under the mutex of the shard. */
    void forEach(const std::function<void(const Member &)> &visit) const;

    /** @return Number of changes so far that MergeOutcome or ExpiryOutcome reports. */
    [[nodiscard]] std::uint64_t structureRevision() const noexcept
    {
        return m_structureRevision.load();
    }
    /** @return Number of changes so far of any kind, the time of hearing included. */
    [[nodiscard]] std::uint64_t contentRevision() const noexcept
    {
        return m_contentRevision.load();
    }

private:
    /** A member that is not alive, with the time that counts for its suspicion or retention. */
    struct Fading
    {
        core::TimePoint since;
        bool isVerified = false;
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<core::HostId, Member> members;
        std::unordered_map<core::HostId, Fading> fading;
    };

    [[nodiscard]] Shard &shardOf(const core::HostId &host);
    [[nodiscard]] const Shard &shardOf(const core::HostId &host) const;
    MergeOutcome insert(Shard &shard, const wire::MemberUpdate &update, RecordSource source, core::TimePoint now);
    void store(Shard &shard, const Member &member, core::TimePoint fadingSince);
    void expireShard(Shard &shard, core::TimePoint now, core::Duration suspicionTime, ExpiryOutcome &outcome);
    bool expireSuspect(Shard &shard,
                       Fading &fading,
                       const Member &member,
                       core::TimePoint now,
                       core::Duration suspicionTime,
                       ExpiryOutcome &outcome);

    std::array<Shard, ShardCount> m_shards;
    std::atomic<std::uint64_t> m_structureRevision{0};
    std::atomic<std::uint64_t> m_contentRevision{0};
};

}
