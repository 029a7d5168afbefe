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
    core::Duration retention = std::chrono::minutes(10); ///< Lifetime of a record, from the claim on.
    std::size_t storedBytes = 16U << 20U; ///< Total size of stored responses; the oldest are evicted first.
    std::size_t records = 100'000; ///< Maximum number of records; further new names are refused.
    [[nodiscard]] bool operator==(const ClaimLimits &) const = default;
};

/** @brief Decision of the home about a send of a named request. */
struct BeginResult
{
    enum class Kind {
        Start, ///< Replicate the claim, then run the request.
        Wait, ///< The request is running here: this send gets the same result.
        Replay, ///< Answer with the stored response.
        Unknown, ///< The request may have run, and no response is stored.
        Mismatch, ///< The name belongs to a request with a different digest.
        Earlier, ///< A caller was told `not-run` after this send entered the system, so it must not run.
        Challenge, ///< The order of this send and the last release is ambiguous: the entry must send it again.
        Full, ///< The record limit is reached.
    };

    Kind kind = Kind::Unknown;
    std::optional<ClaimOwner> owner; ///< With Start.
    std::optional<wire::CallResponse> response; ///< With Replay.
    [[nodiscard]] bool operator==(const BeginResult &) const = default;
};

/**
 * @brief Claim records of this node, both as home and as standby of other homes.
 *
 * Above the byte limit the oldest stored responses are evicted, but their records stay and give `unknown` until they
 * expire. Records are never evicted before they expire, because a name without a record would run again. At the record
 * limit new names are refused.
 */
class ClaimTable
{
public:
    /**
     * @param self This host, the owner of claims made by begin().
     * @param boot Random number of this process, which tells it from earlier ones on the host.
     */
    ClaimTable(core::HostId self, std::uint64_t boot, ClaimLimits limits);

    /** @brief Decides about a send at its home; with Start the claim is recorded here in state Claimed. */
    [[nodiscard]] BeginResult
    begin(const std::string &name, const core::Digest &digest, core::TimePoint now, SendTime send = {});

    /** @return Whether the claim is still the current one and is now in state Dispatched. */
    [[nodiscard]] bool markDispatched(const std::string &name, const ClaimOwner &owner);
    void storeAnswer(const std::string &name, const ClaimOwner &owner, const wire::CallResponse &response);
    void markUnknown(const std::string &name, const ClaimOwner &owner);
    /** @brief The request has not run and its caller is told so; sends that entered before `now` must not run. */
    void release(const std::string &name, const ClaimOwner &owner, core::TimePoint now);
    /** @brief Restores the state before a claim that was not dispatched and whose caller is not told `not-run`. */
    void withdraw(const std::string &name, const ClaimOwner &owner);
    /** @brief Adds the time of a release that a standby reported, so that begin() compares later sends with it. */
    void noteRelease(const std::string &name, const ClaimOwner &owner, core::TimePoint notRunSince);
    /** @brief Replaces a claim of this process that was not dispatched by the record found on a standby. */
    void adopt(const wire::ClaimRecord &record, const ClaimOwner &own, core::TimePoint now);

    /** @brief Handles a claim, result or release from the home of a name, as its standby. */
    [[nodiscard]] wire::ClaimReply accept(const wire::ClaimRequest &request, core::TimePoint now);
    /** @brief Stores a record from a stopping node, unless the record here takes precedence. */
    void merge(const wire::ClaimRecord &record, core::TimePoint now);

    [[nodiscard]] std::optional<Claim> find(const std::string &name, core::TimePoint now) const;
    /** @return All records that have not expired. */
    [[nodiscard]] std::vector<wire::ClaimRecord> records(core::TimePoint now) const;
    /** @brief Removes all expired records. begin() and accept() check two records on each call. */
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
        std::deque<std::string> expiryQueue; ///< Names in the order of their next expiry check.
        std::deque<std::string> answerQueue; ///< Names with a stored response, oldest first; may contain evicted ones.
        std::size_t storedBytes = 0;
    };

    [[nodiscard]] Shard &shardOf(const std::string &name);
    [[nodiscard]] const Shard &shardOf(const std::string &name) const;
    [[nodiscard]] bool isExpired(const Claim &claim, core::TimePoint now) const noexcept;
    [[nodiscard]] bool isOwnUnfinished(const Claim &claim) const noexcept;
    [[nodiscard]] BeginResult
    beginKnown(const Claim &known, const core::Digest &digest, core::TimePoint now, SendTime send) const;
    [[nodiscard]] ClaimOwner nextOwner();
    // The functions below that take a shard require its mutex to be held.
    [[nodiscard]] const Claim *findLive(const Shard &shard, const std::string &name, core::TimePoint now) const;
    [[nodiscard]] const Claim *findOwned(const Shard &shard, const std::string &name, const ClaimOwner &owner) const;
    void put(Shard &shard, const std::string &name, Claim claim);
    void erase(Shard &shard, const std::string &name);
    void putOrErase(Shard &shard, const std::string &name, std::optional<Claim> claim);
    void evictAnswers(Shard &shard);
    void removeExpired(Shard &shard, core::TimePoint now, std::size_t count);
    [[nodiscard]] bool
    replaceKnown(Shard &shard, const Claim &known, const std::string &name, const Claim &offered, bool isRelease);

    core::HostId m_self;
    std::uint64_t m_boot;
    ClaimLimits m_limits;
    std::atomic<std::uint64_t> m_attempts{0};
    std::atomic<std::uint64_t> m_droppedAnswers{0};
    std::array<Shard, ShardCount> m_shards;
};

}
