#include "bucket_manager.h"

#include "berylspring/core/rendezvous.h"
#include "berylspring/limit/tuning.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace berylspring::limit::detail {

namespace {

using namespace std::chrono_literals;

constexpr core::Duration HandoverTimeout = 300ms;
/** Delay between two attempts to take over a bucket whose earlier owner did not answer. */
constexpr core::Duration StartRetryInterval = 50ms;
constexpr core::Duration RateLoanTimeout = 200ms;
/** Delay before a retry while another request takes over the bucket, which takes one round trip. */
constexpr core::Duration StartPollInterval = 2ms;

/** Bounds the processor time of a tick: a choice of the owner takes some microseconds in a large data centre. */
constexpr std::size_t BucketStartsPerTick = 64;

wire::GrantReply grantReply(wire::GrantStatus status, const GrantDecision &decision)
{
    return wire::GrantReply(wire::GrantReplyFields{status, decision.tokens, decision.lifetime, decision.availableIn});
}

}

BucketManager::BucketManager(std::shared_ptr<LimitContext> context)
    : m_context(std::move(context))
    , m_settings(m_context->settings)
    , m_hooks(m_context->hooks)
    , m_totals(m_context->totals)
    , m_nodeState(m_settings, m_hooks)
{
}

BucketManager::Shard &BucketManager::shardOf(const core::WorkspaceId &workspace)
{
    return m_shards[std::hash<core::WorkspaceId>{}(workspace) % m_shards.size()];
}

OwnerBucket BucketManager::makeBucket(const WorkspaceLimit &limit, HandoverState state, core::TimePoint start) const
{
    std::vector<core::DataCentreId> lenders = m_settings.dataCentres;
    std::erase(lenders, m_settings.dataCentre);
    return {limit.share(m_settings.dataCentres.size()), std::move(lenders), std::move(state), start};
}

bool BucketManager::isFirst(Slot &slot, const core::WorkspaceId &workspace, const NodeSnapshot &node) const
{
    if (slot.orderView != node.view) {
        slot.orderView = node.view;
        slot.isFirst = core::rendezvousFirst(workspace.value(), node.view->live()) == m_settings.self;
    }
    return slot.isFirst;
}

BucketManager::Readiness BucketManager::readiness(Slot &slot,
                                                  const core::WorkspaceId &workspace,
                                                  const NodeSnapshot &node,
                                                  const WorkspaceLimit &limit)
{
    using wire::GrantStatus;
    slot.ownership = slot.ownership.under(node.lease);
    // An owner that is no longer first in the rendezvous order serves until the new owner requests the bucket, but at
    // most for LeaseDuration: after a network partition, two owners would never request it from each other.
    slot.notFirstSince =
        isFirst(slot, workspace, node) ? core::TimePoint::max() : std::min(slot.notFirstSince, node.now);
    if (node.now - slot.notFirstSince >= LeaseDuration) {
        slot.ownership = Ownership();
    }
    if (slot.ownership.phase() != OwnershipPhase::Active) {
        slot.bucket.reset();
    } else if (node.isLeaseValid()) {
        slot.bucket->changeShare(limit.share(m_settings.dataCentres.size()), node.now);
        return {GrantStatus::Granted, {}, false};
    }
    // Before it has joined, a node may be first among the few hosts that it knows while another one owns the bucket.
    if (m_isStopping || !node.hasJoined || !isFirst(slot, workspace, node)) {
        return {GrantStatus::NotOwner, {}, false};
    }
    if (!node.isLeaseValid()) {
        return {GrantStatus::Later, LeaseWait, false};
    }
    if (slot.ownership.phase() == OwnershipPhase::Waiting) {
        if (node.now < slot.ownership.until()) {
            return {GrantStatus::Later, slot.ownership.until() - node.now, false};
        }
        slot.bucket = makeBucket(limit, {}, slot.ownership.until());
        slot.ownership = Ownership::active(node.lease.epoch());
        ++slot.generation;
        return {GrantStatus::Granted, {}, false};
    }
    if (slot.isStarting) {
        return {GrantStatus::Later, StartPollInterval, false};
    }
    if (node.now < slot.retryAt) {
        return {GrantStatus::Later, std::max<core::Duration>(slot.retryAt - node.now, StartRetryInterval), false};
    }
    slot.isStarting = true;
    return {GrantStatus::Later, StartPollInterval, true};
}

boost::asio::awaitable<BucketManager::Readiness> BucketManager::ensureReady(core::WorkspaceId workspace,
                                                                            WorkspaceLimit limit)
{
    Readiness ready;
    for (int attempt = 0; attempt < 2; ++attempt) {
        const NodeSnapshot node = m_nodeState.observe();
        {
            Shard &shard = shardOf(workspace);
            const std::scoped_lock lock(shard.mutex);
            ready = readiness(shard.slots[workspace], workspace, node, limit);
        }
        if (!ready.mayStart) {
            break;
        }
        co_await acquireOwnership(workspace, limit);
    }
    co_return ready;
}

void BucketManager::storeStart(const core::WorkspaceId &workspace,
                               const NodeSnapshot &startSnapshot,
                               Ownership ownership,
                               std::optional<OwnerBucket> bucket)
{
    Shard &shard = shardOf(workspace);
    const std::scoped_lock lock(shard.mutex);
    Slot &slot = shard.slots[workspace];
    slot.isStarting = false;
    slot.ownership = ownership;
    slot.bucket = std::move(bucket);
    if (slot.bucket) {
        ++slot.generation;
        slot.lastActive = startSnapshot.now;
    }
    if (ownership.phase() == OwnershipPhase::Idle) {
        slot.retryAt = startSnapshot.now + StartRetryInterval;
    } else {
        slot.handedOverTo.reset();
    }
}

boost::asio::awaitable<void> BucketManager::acquireOwnership(core::WorkspaceId workspace, WorkspaceLimit limit)
{
    const NodeSnapshot startSnapshot = m_nodeState.observe();
    const StartPlan plan = planFor(workspace, startSnapshot);
    if (plan.predecessor) {
        const auto answer = co_await askPredecessor(*plan.predecessor, workspace);
        finishStart(workspace, limit, startSnapshot, plan, answer);
    } else {
        const Ownership next = Ownership::waiting(plan.readyAt, startSnapshot.lease.epoch());
        storeStart(workspace, startSnapshot, next, std::nullopt);
    }
}

boost::asio::awaitable<std::optional<wire::HandoverReply>> BucketManager::askPredecessor(core::HostId predecessor,
                                                                                         core::WorkspaceId workspace)
{
    wire::Message request = wire::HandoverRequest(wire::HandoverRequestFields{workspace});
    const auto reply = co_await m_hooks.call(predecessor, std::move(request), HandoverTimeout);
    const auto *answer = reply ? std::get_if<wire::HandoverReply>(&*reply) : nullptr;
    co_return answer != nullptr ? std::optional(*answer) : std::nullopt;
}

void BucketManager::finishStart(const core::WorkspaceId &workspace,
                                const WorkspaceLimit &limit,
                                const NodeSnapshot &startSnapshot,
                                const StartPlan &plan,
                                const std::optional<wire::HandoverReply> &answer)
{
    const core::TimePoint now = m_hooks.now();
    const std::uint64_t epoch = startSnapshot.lease.epoch();
    if (!answer) {
        storeStart(workspace, startSnapshot, ownershipWithoutReply(plan, startSnapshot), std::nullopt);
    } else if (!(*answer)->wasOwner) {
        // On the first start of a fleet there are no earlier grants, so the bucket has been refilling since readyAt.
        const core::TimePoint readyAt = m_settings.isFirstStart ? plan.readyAt : std::max(plan.readyAt, now);
        storeStart(workspace, startSnapshot, Ownership::waiting(readyAt, epoch), std::nullopt);
    } else {
        ++m_totals.handovers;
        OwnerBucket bucket = makeBucket(limit, handoverStateFrom(*answer, startSnapshot.now, now), now);
        storeStart(workspace, startSnapshot, Ownership::active(epoch), std::move(bucket));
    }
}

StartPlan BucketManager::planFor(const core::WorkspaceId &workspace, const NodeSnapshot &node)
{
    std::optional<core::HostId> knownPredecessor;
    core::TimePoint lastActive;
    {
        Shard &shard = shardOf(workspace);
        const std::scoped_lock lock(shard.mutex);
        knownPredecessor = shard.slots[workspace].handedOverTo;
        lastActive = shard.slots[workspace].lastActive;
    }
    for (const core::HostId &host : node.retired) {
        if (!knownPredecessor && core::rendezvousFirst(workspace.value(), {host, m_settings.self}) == host) {
            knownPredecessor = host;
        }
    }
    StartPlan plan = planStart(workspace.value(), m_settings.self, *node.view, node.lease, node.now, knownPredecessor);
    plan.readyAt = std::max(plan.readyAt, lastActive + LoanWait);
    return plan;
}

Ownership BucketManager::ownershipWithoutReply(const StartPlan &plan, const NodeSnapshot &node) const
{
    const auto &live = node.view->live();
    const auto &retired = node.retired;
    if (std::find(live.begin(), live.end(), *plan.predecessor) != live.end()
        || std::find(retired.begin(), retired.end(), *plan.predecessor) != retired.end()) {
        return {}; // It may still grant tokens, so it is asked again until it answers or leaves the view.
    }
    const auto departed = node.view->departed().find(*plan.predecessor);
    const core::TimePoint goneAt = departed == node.view->departed().end() ? node.now : departed->second;
    return Ownership::waiting(std::max(plan.readyAt, goneAt + LeaseWait + LoanWait), node.lease.epoch());
}

HandoverState
BucketManager::handoverStateFrom(const wire::HandoverReply &reply, core::TimePoint sentAt, core::TimePoint now) const
{
    HandoverState state;
    state.tokens = reply->tokens;
    for (const wire::LoanRecord &record : reply->loans) {
        // Conservative expiry: amounts held by others count from now with drift, amounts held here from the request.
        const core::TimePoint lentUntil = now + durationOf(seconds(record.remaining) * DriftFactor);
        const core::TimePoint heldUntil = sentAt + record.remaining;
        if (record.dataCentre == m_settings.dataCentre) {
            state.ledgerEntries.emplace_back(
                LedgerEntryKind::Granted, core::DataCentreId(), record.capacity, lentUntil);
        } else if (record.rate > 0) {
            state.ledgerEntries.emplace_back(record.isLent ? LedgerEntryKind::RateLent : LedgerEntryKind::RateBorrowed,
                                             record.dataCentre,
                                             record.rate,
                                             record.isLent ? lentUntil : heldUntil);
        } else {
            state.ledgerEntries.emplace_back(record.isLent ? LedgerEntryKind::CapacityLent
                                                           : LedgerEntryKind::CapacityBorrowed,
                                             record.dataCentre,
                                             record.capacity,
                                             record.isLent ? lentUntil : heldUntil);
        }
    }
    return state;
}

wire::Message BucketManager::handOverTo(const core::HostId &to, const wire::HandoverRequest &request)
{
    m_nodeState.restore(to);
    const NodeSnapshot node = m_nodeState.observe();
    const core::WorkspaceId &workspace = request->workspace;
    const StartPlan plan = planStart(workspace.value(), m_settings.self, *node.view, node.lease, node.now);
    Shard &shard = shardOf(workspace);
    const std::scoped_lock lock(shard.mutex);
    Slot &slot = shard.slots[workspace];
    slot.ownership = slot.ownership.under(node.lease);
    if (slot.ownership.phase() == OwnershipPhase::Active && node.isLeaseValid()) {
        wire::HandoverReplyFields reply{true, 0, {}};
        const HandoverState state = slot.bucket->handOver(node.now);
        reply.tokens = state.tokens;
        for (const LedgerEntry &entry : state.ledgerEntries) {
            const bool isRate =
                entry.kind() == LedgerEntryKind::RateLent || entry.kind() == LedgerEntryKind::RateBorrowed;
            const bool isBorrowed =
                entry.kind() == LedgerEntryKind::RateBorrowed || entry.kind() == LedgerEntryKind::CapacityBorrowed;
            const auto &partner = entry.kind() == LedgerEntryKind::Granted ? m_settings.dataCentre : entry.partner();
            reply.loans.push_back(wire::LoanRecord{partner,
                                                   !isBorrowed,
                                                   isRate ? entry.amount() : 0,
                                                   isRate ? 0 : entry.amount(),
                                                   entry.until() - node.now});
        }
        slot.bucket.reset();
        slot.ownership = Ownership();
        slot.lastActive = node.now;
        slot.handedOverTo = to;
        return wire::HandoverReply(std::move(reply));
    }
    const bool isWaiting = slot.ownership.phase() == OwnershipPhase::Waiting && node.now < slot.ownership.until();
    // The requester may not know a live host that is the owner in the view of this node.
    std::vector<core::HostId> others = node.view->live();
    std::erase(others, to);
    const bool isPredecessor = core::rendezvousFirst(workspace.value(), others) == m_settings.self;
    if (!isPredecessor || slot.isStarting || isWaiting || node.now < plan.readyAt
        || node.now < slot.lastActive + LoanWait) {
        return wire::Refused(wire::RefusedFields{"what an earlier owner granted may still be in use"});
    }
    slot.bucket.reset();
    slot.ownership = Ownership();
    slot.handedOverTo = to;
    return wire::HandoverReply(wire::HandoverReplyFields{});
}

boost::asio::awaitable<wire::GrantReply> BucketManager::grant(core::HostId from, wire::GrantRequest request)
{
    const core::WorkspaceId workspace = request->workspace;
    const auto limit = m_hooks.limitOf(workspace);
    if (!limit) {
        co_return grantReply(wire::GrantStatus::Granted, {request->tokens, MaxGrantLifetime, {}});
    }
    if (request->tokens == 0) {
        // A request for no tokens: the sender shuts down gracefully and asks its successor to fetch the bucket.
        m_nodeState.retire(from);
    }
    const Readiness ready = co_await ensureReady(workspace, *limit);
    if (ready.status != wire::GrantStatus::Granted || request->tokens == 0) {
        co_return grantReply(ready.status, {0, {}, ready.wait});
    }
    const NodeSnapshot node = m_nodeState.observe();
    GrantDecision decision;
    std::vector<LoanNeed> needs;
    std::uint64_t generation = 0;
    {
        Shard &shard = shardOf(workspace);
        const std::scoped_lock lock(shard.mutex);
        Slot &slot = shard.slots[workspace];
        if (readiness(slot, workspace, node, *limit).status != wire::GrantStatus::Granted) {
            slot.isStarting = false;
            co_return grantReply(wire::GrantStatus::Later, {0, {}, StartPollInterval});
        }
        decision = slot.bucket->grant(request->tokens, node.now);
        needs = slot.bucket->loansToRequest(node.now);
        slot.lastActive = node.now;
        generation = slot.generation;
    }
    requestLoans(workspace, generation, needs);
    co_return grantReply(decision.tokens > 0 ? wire::GrantStatus::Granted : wire::GrantStatus::Later, decision);
}

boost::asio::awaitable<wire::LoanReply> BucketManager::lend(wire::LoanRequest request)
{
    const core::WorkspaceId workspace = request->workspace;
    const auto limit = m_hooks.limitOf(workspace);
    if (!limit) {
        co_return wire::LoanReply();
    }
    const Readiness ready = co_await ensureReady(workspace, *limit);
    if (ready.status != wire::GrantStatus::Granted) {
        co_return wire::LoanReply();
    }
    const NodeSnapshot node = m_nodeState.observe();
    Shard &shard = shardOf(workspace);
    const std::scoped_lock lock(shard.mutex);
    Slot &slot = shard.slots[workspace];
    if (readiness(slot, workspace, node, *limit).status != wire::GrantStatus::Granted) {
        slot.isStarting = false;
        co_return wire::LoanReply();
    }
    const LoanDecision loan = slot.bucket->lend(request->borrower, request->rate, request->capacity, node.now);
    slot.lastActive = node.now;
    co_return wire::LoanReply(
        wire::LoanReplyFields{loan.rate > 0 || loan.tokens > 0, loan.rate, loan.tokens, loan.tokens, loan.duration});
}

void BucketManager::requestLoans(const core::WorkspaceId &workspace,
                                 std::uint64_t generation,
                                 const std::vector<LoanNeed> &needs)
{
    for (const LoanNeed &need : needs) {
        boost::asio::co_spawn(
            m_context->executor,
            [](std::shared_ptr<BucketManager> self, core::WorkspaceId name, std::uint64_t number, LoanNeed what)
                -> boost::asio::awaitable<void> {
                co_await self->borrow(name, number, what);
            }(shared_from_this(), workspace, generation, need),
            boost::asio::detached);
    }
}

boost::asio::awaitable<void> BucketManager::borrow(core::WorkspaceId workspace, std::uint64_t generation, LoanNeed need)
{
    const std::vector<core::HostId> hosts = m_hooks.liveHosts(need.lender);
    const core::HostId owner = core::rendezvousFirst(workspace.value(), hosts);
    const core::TimePoint sentAt = m_hooks.now();
    std::optional<LoanDecision> loan;
    if (!owner.isEmpty()) {
        ++m_totals.loans;
        wire::Message request =
            wire::LoanRequest(wire::LoanRequestFields{workspace, m_settings.dataCentre, need.rate, need.tokens});
        const core::Duration timeout = need.tokens > 0 ? TokenLoanTimeout : RateLoanTimeout;
        const auto reply = co_await m_hooks.call(owner, std::move(request), timeout);
        if (const auto *answer = reply ? std::get_if<wire::LoanReply>(&*reply) : nullptr) {
            loan = LoanDecision{(*answer)->rate, (*answer)->tokens, (*answer)->duration};
        }
    }
    const core::TimePoint now = m_hooks.now();
    Shard &shard = shardOf(workspace);
    const std::scoped_lock lock(shard.mutex);
    const auto found = shard.slots.find(workspace);
    if (found == shard.slots.end() || !found->second.bucket || found->second.generation != generation) {
        co_return;
    }
    if (loan) {
        found->second.bucket->applyLoan(need, *loan, sentAt, now);
    } else {
        found->second.bucket->applyLoanFailure(need, now);
    }
}

boost::asio::awaitable<void> BucketManager::requestTakeover(core::WorkspaceId workspace)
{
    std::vector<core::HostId> hosts = m_hooks.liveHosts(m_settings.dataCentre);
    std::erase(hosts, m_settings.self);
    const core::HostId next = core::rendezvousFirst(workspace.value(), hosts);
    if (next.isEmpty()) {
        co_return;
    }
    wire::Message request = wire::GrantRequest(wire::GrantRequestFields{workspace, 0});
    const auto reply = co_await m_hooks.call(next, std::move(request), HandoverTimeout);
    static_cast<void>(reply); // Without an answer, the next owner waits until the lease of this node has expired.
}

boost::asio::awaitable<void> BucketManager::stop()
{
    m_isStopping = true;
    std::vector<core::WorkspaceId> owned;
    for (Shard &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        for (const auto &[workspace, slot] : shard.slots) {
            if (slot.bucket) {
                owned.push_back(workspace);
            }
        }
    }
    for (const core::WorkspaceId &workspace : owned) {
        co_await requestTakeover(workspace);
    }
}

bool BucketManager::isEvictable(Slot &slot, const NodeSnapshot &node)
{
    const bool isWaiting =
        slot.ownership.phase() == OwnershipPhase::Waiting && node.now < slot.ownership.until() + SettleTime;
    if (slot.isStarting || isWaiting || slot.handedOverTo || node.now < slot.lastActive + SettleTime) {
        return false;
    }
    // A recreated bucket is treated as refilling since this node became known to all hosts.
    const core::TimePoint refillFrom = node.lease.brokenAt() + SettleTime + LoanWait;
    return !slot.bucket || slot.bucket->isIdle(node.now, node.now - refillFrom);
}

std::vector<core::WorkspaceId> BucketManager::nextToStart()
{
    const std::scoped_lock lock(m_startMutex);
    if (m_startCursor >= m_startNames.size()) {
        m_startNames = m_hooks.limitedWorkspaces();
        m_startCursor = 0;
    }
    const std::size_t end = std::min(m_startNames.size(), m_startCursor + BucketStartsPerTick);
    std::vector<core::WorkspaceId> names(m_startNames.begin() + static_cast<std::ptrdiff_t>(m_startCursor),
                                         m_startNames.begin() + static_cast<std::ptrdiff_t>(end));
    m_startCursor = end;
    return names;
}

void BucketManager::startBuckets(const NodeSnapshot &node)
{
    // Later, a bucket without state counts as refilling since this node became known to all hosts.
    const bool isSettled = node.now - node.lease.brokenAt() >= SettleTime;
    if (isSettled || m_isStopping || !node.hasJoined || !m_hooks.limitedWorkspaces) {
        return;
    }
    for (const core::WorkspaceId &workspace : nextToStart()) {
        const auto limit = m_hooks.limitOf(workspace);
        if (limit && core::rendezvousFirst(workspace.value(), node.view->live()) == m_settings.self) {
            boost::asio::co_spawn(
                m_context->executor,
                [](std::shared_ptr<BucketManager> self,
                   core::WorkspaceId name,
                   WorkspaceLimit itsLimit) -> boost::asio::awaitable<void> {
                    [[maybe_unused]] const Readiness ready = co_await self->ensureReady(name, itsLimit);
                }(shared_from_this(), workspace, *limit),
                boost::asio::detached);
        }
    }
}

void BucketManager::tick()
{
    const NodeSnapshot node = m_nodeState.observe();
    startBuckets(node);
    for (Shard &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        for (auto entry = shard.slots.begin(); entry != shard.slots.end();) {
            entry = isEvictable(entry->second, node) ? shard.slots.erase(entry) : std::next(entry);
        }
    }
}

}
