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

/** @brief Origin of a record. */
enum class RecordSource {
    Member, ///< The member itself, in its own datagram.
    Other, ///< Another member.
};

/** @brief Result of merging a record. */
struct MergeOutcome
{
    std::optional<Member> changed; ///< The member, if new or changed in more than load, admitted level and offset.
    std::optional<Member> contradiction; ///< The local record, if it is not older than the merged one and differs.
    bool isNew = false; ///< The host was not known, or was dead or left.
    bool hasHigherOffset = false; ///< The record raised the applied offset of the member.
    [[nodiscard]] bool operator==(const MergeOutcome &) const = default;
};

/** @brief Result of checking the suspicion and retention times. */
struct ExpiryOutcome
{
    std::vector<Member> died; ///< Suspects that did not refute in time.
    std::vector<Member> suspects; ///< Members that remain suspect.
    std::vector<Member> toVerify; ///< Suspects past half of the suspicion time; each suspicion is listed once.
    std::size_t removed = 0; ///< Number of dead and left members removed after DeadRetention.
    [[nodiscard]] bool operator==(const ExpiryOutcome &) const = default;
};

/**
 * @brief The other members and the merge rules of SWIM, in shards with one mutex each.
 *
 * Within one incarnation the states rank alive < suspect < dead < left, and the version orders the applied offset and
 * the endpoint. A higher incarnation replaces the record. A report by another member that a live member is dead only
 * starts a suspicion with half of the suspicion time: each member waits for the refutation itself, so that a single
 * faulty member cannot eject others.
 * Unknown hosts are added only as alive, so that a late update on a removed host does not bring it back.
 */
class MemberTable
{
public:
    static constexpr std::size_t ShardCount = 16;

    MergeOutcome merge(const wire::MemberUpdate &update, RecordSource source, core::TimePoint now);

    /** @return The member, if it was alive in that incarnation and has become suspect. */
    std::optional<Member> suspect(const core::HostId &host, std::uint64_t incarnation, core::TimePoint now);

    /**
     * @brief Declares unrefuted suspects dead and removes dead and left members after DeadRetention.
     * @param now The current time.
     * @param suspicionTime How long a suspect has to refute.
     */
    ExpiryOutcome expire(core::TimePoint now, core::Duration suspicionTime);

    /** @brief Extends the running suspicions by a gap in which this process did not run. */
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
    /** @return Number of changes so far of any kind, including those of Member::lastSeenAt(). */
    [[nodiscard]] std::uint64_t contentRevision() const noexcept
    {
        return m_contentRevision.load();
    }

private:
    /** Start of the suspicion or retention time of a member that is not alive. */
    struct ExpiryTimer
    {
        core::TimePoint since;
        bool isReported = false;
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<core::HostId, Member> members;
        std::unordered_map<core::HostId, ExpiryTimer> timers;
    };

    [[nodiscard]] Shard &shardOf(const core::HostId &host);
    [[nodiscard]] const Shard &shardOf(const core::HostId &host) const;
    MergeOutcome insert(Shard &shard, const wire::MemberUpdate &update, RecordSource source, core::TimePoint now);
    void store(Shard &shard, const Member &member, core::TimePoint timerStart);
    void expireShard(Shard &shard, core::TimePoint now, core::Duration suspicionTime, ExpiryOutcome &outcome);
    bool expireSuspect(Shard &shard,
                       ExpiryTimer &timer,
                       const Member &member,
                       core::TimePoint now,
                       core::Duration suspicionTime,
                       ExpiryOutcome &outcome);

    std::array<Shard, ShardCount> m_shards;
    std::atomic<std::uint64_t> m_structureRevision{0};
    std::atomic<std::uint64_t> m_contentRevision{0};
};

}
