#include "berylspring/idempotency/claim_table.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace berylspring::idempotency {

namespace {

/** More than one, so that records are removed faster than new ones arrive. */
constexpr std::size_t ExpiryChecksPerCall = 2;

}

ClaimTable::ClaimTable(core::HostId self, std::uint64_t boot, ClaimLimits limits)
    : m_self(std::move(self))
    , m_boot(boot)
    , m_limits(limits)
{
}

BeginResult ClaimTable::begin(const std::string &name, const core::Digest &digest, core::TimePoint now, SendTime send)
{
    Shard &shard = shardOf(name);
    const std::scoped_lock lock(shard.mutex);
    removeExpired(shard, now, ExpiryChecksPerCall);
    const Claim *known = findLive(shard, name, now);
    std::optional<core::TimePoint> notRunSince;
    if (known != nullptr) {
        BeginResult result = beginKnown(*known, digest, now, send);
        if (result.kind != BeginResult::Kind::Start) {
            return result;
        }
        notRunSince = known->notRunSince();
    } else if (shard.claims.size() >= m_limits.records / ShardCount) {
        return {BeginResult::Kind::Full, std::nullopt, std::nullopt};
    }
    const ClaimOwner owner = nextOwner();
    put(shard, name, Claim(owner, digest, now).withNotRunSince(notRunSince));
    return {BeginResult::Kind::Start, owner, std::nullopt};
}

BeginResult
ClaimTable::beginKnown(const Claim &known, const core::Digest &digest, core::TimePoint now, SendTime send) const
{
    if (known.requestDigest() != digest) {
        return {BeginResult::Kind::Mismatch, std::nullopt, std::nullopt};
    }
    if (isOwnUnfinished(known)) {
        return {BeginResult::Kind::Wait, std::nullopt, std::nullopt};
    }
    if (known.state() == wire::ClaimState::Released) {
        switch (send.comparedTo(known.created(), now)) {
        case SendOrder::Earlier:
            return {BeginResult::Kind::Earlier, std::nullopt, std::nullopt};
        case SendOrder::Ambiguous:
            return {BeginResult::Kind::Challenge, std::nullopt, std::nullopt};
        case SendOrder::Later:
            return {BeginResult::Kind::Start, std::nullopt, std::nullopt};
        }
    }
    if (known.state() == wire::ClaimState::Answered && known.response()) {
        return {BeginResult::Kind::Replay, std::nullopt, known.response()};
    }
    return {BeginResult::Kind::Unknown, std::nullopt, std::nullopt};
}

bool ClaimTable::markDispatched(const std::string &name, const ClaimOwner &owner)
{
    Shard &shard = shardOf(name);
    const std::scoped_lock lock(shard.mutex);
    const Claim *claim = findOwned(shard, name, owner);
    if (claim == nullptr || claim->state() != wire::ClaimState::Claimed) {
        return false;
    }
    put(shard, name, claim->withState(wire::ClaimState::Dispatched));
    return true;
}

void ClaimTable::storeAnswer(const std::string &name, const ClaimOwner &owner, const wire::CallResponse &response)
{
    Shard &shard = shardOf(name);
    const std::scoped_lock lock(shard.mutex);
    if (const Claim *claim = findOwned(shard, name, owner)) {
        put(shard, name, claim->withAnswer(response));
    }
}

void ClaimTable::markUnknown(const std::string &name, const ClaimOwner &owner)
{
    Shard &shard = shardOf(name);
    const std::scoped_lock lock(shard.mutex);
    if (const Claim *claim = findOwned(shard, name, owner)) {
        put(shard, name, claim->withState(wire::ClaimState::Unknown));
    }
}

void ClaimTable::release(const std::string &name, const ClaimOwner &owner, core::TimePoint now)
{
    Shard &shard = shardOf(name);
    const std::scoped_lock lock(shard.mutex);
    if (const Claim *claim = findOwned(shard, name, owner)) {
        put(shard, name, claim->released(now));
    }
}

void ClaimTable::withdraw(const std::string &name, const ClaimOwner &owner)
{
    Shard &shard = shardOf(name);
    const std::scoped_lock lock(shard.mutex);
    if (const Claim *claim = findOwned(shard, name, owner)) {
        putOrErase(shard, name, claim->withdrawn());
    }
}

void ClaimTable::noteRelease(const std::string &name, const ClaimOwner &owner, core::TimePoint notRunSince)
{
    Shard &shard = shardOf(name);
    const std::scoped_lock lock(shard.mutex);
    if (const Claim *claim = findOwned(shard, name, owner)) {
        put(shard, name, claim->withNotRunSince(std::max(claim->notRunSince().value_or(notRunSince), notRunSince)));
    }
}

void ClaimTable::adopt(const wire::ClaimRecord &record, const ClaimOwner &own, core::TimePoint now)
{
    Shard &shard = shardOf(record->name);
    const std::scoped_lock lock(shard.mutex);
    const Claim *claim = findOwned(shard, record->name, own);
    if (claim != nullptr && claim->state() == wire::ClaimState::Claimed) {
        put(shard, record->name, Claim::fromRecord(record, now));
    }
}

wire::ClaimReply ClaimTable::accept(const wire::ClaimRequest &request, core::TimePoint now)
{
    const wire::ClaimRecord &record = request->record;
    Shard &shard = shardOf(record->name);
    const std::scoped_lock lock(shard.mutex);
    removeExpired(shard, now, ExpiryChecksPerCall);
    const Claim offered = Claim::fromRecord(record, now);
    wire::ClaimReplyFields reply;
    const Claim *known = findLive(shard, record->name, now);
    if (known != nullptr) {
        const Claim before = *known;
        reply.isAccepted = replaceKnown(shard, before, record->name, offered, request->isRelease);
        if (!reply.isAccepted) {
            reply.existing = before.toRecord(record->name, now);
        } else if (before.notRunSince()) {
            reply.existing = before.released(*before.notRunSince()).toRecord(record->name, now);
        }
        return wire::ClaimReply(std::move(reply));
    }
    reply.isAccepted = true;
    if (!request->isRelease || record->state == wire::ClaimState::Released) {
        put(shard, record->name, offered);
    }
    return wire::ClaimReply(std::move(reply));
}

bool ClaimTable::replaceKnown(
    Shard &shard, const Claim &known, const std::string &name, const Claim &offered, bool isRelease)
{
    if (known.owner() == offered.owner()) {
        if (isRelease) {
            if (known.isUnfinished()) {
                const bool isNotRunReported = offered.state() == wire::ClaimState::Released;
                putOrErase(shard, name, isNotRunReported ? std::optional(offered) : known.withdrawn());
            }
            return known.isUnfinished() || known.state() == offered.state();
        }
        if (known.state() == wire::ClaimState::Released) {
            return false;
        }
        if (offered.takesPrecedenceOver(known)) {
            put(shard, name, offered.withNotRunSince(known.notRunSince()));
        }
        return true;
    }
    if (isRelease) {
        return false;
    }
    const bool isOwnNewer =
        known.owner().isSameProcess(offered.owner()) && offered.owner().attempt > known.owner().attempt;
    const bool isOwnOlder =
        known.owner().isSameProcess(offered.owner()) && offered.owner().attempt < known.owner().attempt;
    const bool isFree = known.state() == wire::ClaimState::Released || (isOwnNewer && known.isUnfinished());
    if (isOwnOlder || !isFree) {
        return false;
    }
    put(shard, name, offered.withNotRunSince(known.notRunSince()));
    return true;
}

void ClaimTable::merge(const wire::ClaimRecord &record, core::TimePoint now)
{
    Shard &shard = shardOf(record->name);
    const std::scoped_lock lock(shard.mutex);
    const Claim offered = Claim::fromRecord(record, now);
    if (isExpired(offered, now)) {
        return;
    }
    const Claim *known = findLive(shard, record->name, now);
    if (known == nullptr) {
        put(shard, record->name, offered);
        return;
    }
    // Replacing a claim of this process that is not dispatched yet makes markDispatched() fail, and the entry sends the
    // request again.
    const bool isOwn = isOwnUnfinished(*known);
    const bool isReplaceable =
        isOwn && known->state() == wire::ClaimState::Claimed && !offered.owner().isSameProcess(known->owner());
    if (isReplaceable || (!isOwn && offered.takesPrecedenceOver(*known))) {
        put(shard, record->name, offered.withNotRunSince(std::max(offered.notRunSince(), known->notRunSince())));
    }
}

std::optional<Claim> ClaimTable::find(const std::string &name, core::TimePoint now) const
{
    const Shard &shard = shardOf(name);
    const std::scoped_lock lock(shard.mutex);
    const Claim *claim = findLive(shard, name, now);
    return claim == nullptr ? std::nullopt : std::optional(*claim);
}

std::vector<wire::ClaimRecord> ClaimTable::records(core::TimePoint now) const
{
    std::vector<wire::ClaimRecord> records;
    for (const Shard &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        for (const auto &[name, claim] : shard.claims) {
            if (!isExpired(claim, now)) {
                records.push_back(claim.toRecord(name, now));
            }
        }
    }
    return records;
}

void ClaimTable::expire(core::TimePoint now)
{
    for (Shard &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        removeExpired(shard, now, shard.expiryQueue.size());
    }
}

std::size_t ClaimTable::size() const
{
    std::size_t total = 0;
    for (const Shard &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        total += shard.claims.size();
    }
    return total;
}

std::size_t ClaimTable::storedBytes() const
{
    std::size_t total = 0;
    for (const Shard &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        total += shard.storedBytes;
    }
    return total;
}

ClaimTable::Shard &ClaimTable::shardOf(const std::string &name)
{
    return m_shards[std::hash<std::string>{}(name) % ShardCount];
}

const ClaimTable::Shard &ClaimTable::shardOf(const std::string &name) const
{
    return m_shards[std::hash<std::string>{}(name) % ShardCount];
}

bool ClaimTable::isExpired(const Claim &claim, core::TimePoint now) const noexcept
{
    return now - claim.created() >= m_limits.retention && !isOwnUnfinished(claim);
}

bool ClaimTable::isOwnUnfinished(const Claim &claim) const noexcept
{
    return claim.isUnfinished() && claim.owner().home == m_self && claim.owner().boot == m_boot;
}

ClaimOwner ClaimTable::nextOwner()
{
    return {m_self, m_boot, m_attempts.fetch_add(1) + 1};
}

const Claim *ClaimTable::findLive(const Shard &shard, const std::string &name, core::TimePoint now) const
{
    const auto found = shard.claims.find(name);
    return found == shard.claims.end() || isExpired(found->second, now) ? nullptr : &found->second;
}

const Claim *ClaimTable::findOwned(const Shard &shard, const std::string &name, const ClaimOwner &owner) const
{
    const auto found = shard.claims.find(name);
    return found == shard.claims.end() || found->second.owner() != owner ? nullptr : &found->second;
}

void ClaimTable::put(Shard &shard, const std::string &name, Claim claim)
{
    const std::size_t bytes = claim.storedBytes();
    const auto found = shard.claims.find(name);
    if (found == shard.claims.end()) {
        shard.claims.emplace(name, std::move(claim));
        shard.expiryQueue.push_back(name);
    } else {
        shard.storedBytes -= found->second.storedBytes();
        found->second = std::move(claim);
    }
    if (bytes > 0) {
        shard.storedBytes += bytes;
        shard.answerQueue.push_back(name);
        evictAnswers(shard);
    }
}

void ClaimTable::erase(Shard &shard, const std::string &name)
{
    const auto found = shard.claims.find(name);
    if (found != shard.claims.end()) {
        shard.storedBytes -= found->second.storedBytes();
        shard.claims.erase(found);
    }
}

void ClaimTable::putOrErase(Shard &shard, const std::string &name, std::optional<Claim> claim)
{
    if (claim) {
        put(shard, name, std::move(*claim));
    } else {
        erase(shard, name);
    }
}

void ClaimTable::evictAnswers(Shard &shard)
{
    while (!shard.answerQueue.empty()) {
        const auto found = shard.claims.find(shard.answerQueue.front());
        const bool isStored = found != shard.claims.end() && found->second.storedBytes() > 0;
        if (isStored && shard.storedBytes <= m_limits.storedBytes / ShardCount) {
            return;
        }
        shard.answerQueue.pop_front();
        if (isStored) {
            shard.storedBytes -= found->second.storedBytes();
            found->second = found->second.withoutAnswer();
            m_droppedAnswers.fetch_add(1, std::memory_order_relaxed);
        }
    }
}

void ClaimTable::removeExpired(Shard &shard, core::TimePoint now, std::size_t count)
{
    for (std::size_t i = 0; i < count && !shard.expiryQueue.empty(); ++i) {
        std::string name = std::move(shard.expiryQueue.front());
        shard.expiryQueue.pop_front();
        const auto found = shard.claims.find(name);
        if (found == shard.claims.end()) {
            continue;
        }
        if (isExpired(found->second, now)) {
            erase(shard, name);
        } else {
            shard.expiryQueue.push_back(std::move(name));
        }
    }
}

}
