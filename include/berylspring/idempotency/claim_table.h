#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/idempotency/claim.h"
#include "berylspring/idempotency/send_time.h"
#include "berylspring/wire/messages.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylspring::idempotency {

/** @brief Bounds of a ClaimTable. */
struct ClaimLimits
{
    core::Duration retention = std::chrono::minutes(10); ///< Counted from the claim.
    std::size_t storedBytes = 16U << 20U; ///< Stored answers; the oldest are dropped first.
    std::size_t records = 100'000; ///< New names beyond it are refused.
    [[nodiscard]] bool operator==(const ClaimLimits &) const = default;
};

/** @brief What the home does with a request of some name. */
struct Begin
{
    enum class Kind {
        Start, ///< Replicate the claim, then run.
        Wait, ///< It is running here: its result is the result of this send, too.
        Replay, ///< The stored response.
        Unknown, ///< It may have run.
        Mismatch, ///< Another request has this name.
        Earlier, ///< A later send of the name was answered `not-run`, so this one must not run.
        Challenge, ///< Whether this send is earlier or later can't be told: ask the entry.
        Full, ///< No memory for a new record.
    };

    Kind kind = Kind::Unknown;
    std::optional<ClaimOwner> owner; ///< With Start.
    std::optional<wire::CallResponse> response; ///< With Replay.
    [[nodiscard]] bool operator==(const Begin &) const = default;
};

/**
 * @brief Records of names, of this node as home and as standby of other homes.
 *
 * Memory rule: over the byte limit the oldest stored answers are dropped, but their records stay and answer `unknown`
 * until they expire. A record is never forgotten early, so a name never runs again because memory was short; over the
 * record limit new names are refused.
 */
class ClaimTable
{
public:
    /**
     * @param self Host whose claims this table starts.
     * @param boot Random number of this process.
     */
    ClaimTable(core::HostId self, std::uint64_t boot, ClaimLimits limits);

    /** @brief Decides about a request at its home; with Start the claim is recorded here in state Claimed. */
    [[nodiscard]] Begin
    begin(const std::string &name, const core::Digest &digest, core::TimePoint now, SendTime send = {});

    /** @return Whether the claim is still the current one and is now in state Dispatched. */
    [[nodiscard]] bool markDispatched(const std::string &name, const ClaimOwner &owner);
    void storeAnswer(const std::string &name, const ClaimOwner &owner, const wire::CallResponse &response);
    void markUnknown(const std::string &name, const ClaimOwner &owner);
    /** @brief Nothing has run, and a caller will be told so: earlier sends must not run after this. */
    void release(const std::string &name, const ClaimOwner &owner, core::TimePoint now);
    /** @brief Nothing was dispatched, but no caller will be told so: back to the state before the claim. */
    void withdraw(const std::string &name, const ClaimOwner &owner);
    /** @brief Keeps the time of a release that the standby remembers, for the order of sends. */
    void noteRelease(const std::string &name, const ClaimOwner &owner, core::TimePoint notRunSince);
    /** @brief Replaces an own claim that was not dispatched by the record found on a standby. */
    void adopt(const wire::ClaimRecord &record, const ClaimOwner &own, core::TimePoint now);

    /** @brief Answers the home of a name as its standby. */
    [[nodiscard]] wire::ClaimReply accept(const wire::ClaimRequest &request, core::TimePoint now);
    /** @brief Takes over a record from a node that stops, unless a better one is here. */
    void merge(const wire::ClaimRecord &record, core::TimePoint now);

    [[nodiscard]] std::optional<Claim> find(const std::string &name, core::TimePoint now) const;
    /** @return All records that have not expired. */
    [[nodiscard]] std::vector<wire::ClaimRecord> records(core::TimePoint now) const;
    /** @brief Removes expired records. begin() and accept() do this for two records a call. */
    void expire(core::TimePoint now);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t storedBytes() const;
    [[nodiscard]] std::uint64_t droppedAnswers() const noexcept
    {
        return m_droppedAnswers.load(std::memory_order_relaxed);
    }

private:
    static constexpr std::size_t ShardCount = 16;

    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, Claim> claims;
        std::deque<std::string> sweep; ///< Each name once, in the order of the next check for expiry.
        std::deque<std::string> answered; ///< Names with a stored answer, oldest first; may name dropped ones.
        std::size_t storedBytes = 0;
    };

    [[nodiscard]] Shard &shardOf(const std::string &name);
    [[nodiscard]] const Shard &shardOf(const std::string &name) const;
    [[nodiscard]] bool isExpired(const Claim &claim, core::TimePoint now) const noexcept;
    [[nodiscard]] bool isOwnUnfinished(const Claim &claim) const noexcept;
    [[nodiscard]] Begin
    beginOn(const Claim &known, const core::Digest &digest, core::TimePoint now, SendTime send) const;
    [[nodiscard]] ClaimOwner nextOwner();
    /** Shard functions are called with its mutex held. */
    [[nodiscard]] const Claim *live(const Shard &shard, const std::string &name, core::TimePoint now) const;
    [[nodiscard]] const Claim *owned(const Shard &shard, const std::string &name, const ClaimOwner &owner) const;
    void put(Shard &shard, const std::string &name, Claim claim);
    void erase(Shard &shard, const std::string &name);
    void putOrErase(Shard &shard, const std::string &name, std::optional<Claim> claim);
    void dropAnswers(Shard &shard);
    void sweepSome(Shard &shard, core::TimePoint now, std::size_t count);
    [[nodiscard]] bool
    acceptOver(Shard &shard, const Claim &known, const std::string &name, const Claim &offered, bool isRelease);

    core::HostId m_self;
    std::uint64_t m_boot;
    ClaimLimits m_limits;
    std::atomic<std::uint64_t> m_attempts{0};
    std::atomic<std::uint64_t> m_droppedAnswers{0};
    std::array<Shard, ShardCount> m_shards;
};

}
