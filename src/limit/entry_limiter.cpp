#include "entry_limiter.h"

#include "berylspring/async/await_on.h"
#include "berylspring/core/rendezvous.h"
#include "berylspring/limit/tuning.h"

#include <algorithm>
#include <cmath>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::limit::detail {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/** Leaves time to ask another data centre within MaxHold if the local owner does not respond. */
constexpr core::Duration GrantTimeout = 12ms;
/** Time after which the list of owners is rebuilt, so that a failed owner is tried again. */
constexpr core::Duration TargetsLifetime = 500ms;
/** Maximum time for which requests are refused at once after no owner had tokens. */
constexpr core::Duration MaxRefusalTime = 10ms;
/** Delay before the next round of requests after every owner was tried without success. */
constexpr core::Duration FailureRetryDelay = 1ms;
/** Hosts of the own data centre that are asked: the owner, and the host that succeeds it when it stops. */
constexpr std::size_t LocalTargets = 2;
constexpr core::Duration SlotIdleTimeout = 10s;
/** Maximum tokens that one entry node prefetches, in seconds of the whole rate. Unused tokens are lost. */
constexpr double PrefetchSeconds = 0.005;
/** The next batch is fetched when less than the last batch divided by this is left. */
constexpr std::uint32_t RefetchDivisor = 4;

}

EntryLimiter::EntryLimiter(std::shared_ptr<LimitContext> context, std::shared_ptr<BucketManager> bucketManager)
    : m_context(std::move(context))
    , m_settings(m_context->settings)
    , m_hooks(m_context->hooks)
    , m_bucketManager(std::move(bucketManager))
    , m_totals(m_context->totals)
{
}

EntryLimiter::Shard &EntryLimiter::shardOf(const core::WorkspaceId &workspace)
{
    return m_shards[std::hash<core::WorkspaceId>{}(workspace) % m_shards.size()];
}

EntryLimiter::Admission EntryLimiter::refuse(core::Duration retryAfter)
{
    ++m_totals.refused;
    return tl::make_unexpected(core::Refusal(core::RefusalReason::LimitExceeded,
                                             core::Outcome::NotRun,
                                             "the workspace is over its rate and burst")
                                   .withRetryAfter(std::max<core::Duration>(retryAfter, 1ms)));
}

asio::awaitable<EntryLimiter::Admission> EntryLimiter::admit(core::WorkspaceId workspace, core::Duration maxHold)
{
    const auto limit = m_hooks.limitOf(workspace);
    if (!limit) {
        ++m_totals.admitted;
        co_return Admission();
    }
    const core::TimePoint arrival = m_hooks.now();
    const core::Duration hold = std::clamp<core::Duration>(maxHold, 0ms, MaxHold);
    const double maxWaiters = limit->burst() + limit->rate() * seconds(hold);
    Shard &shard = shardOf(workspace);
    WaiterPointer waiter;
    bool mustFetch = false;
    bool mustSweep = false;
    {
        const std::scoped_lock lock(shard.mutex);
        Slot &slot = shard.slots[workspace];
        slot.lastUsed = arrival;
        slot.demand = slot.demand.with(1, arrival);
        slot.maxPrefetch = limit->rate() * PrefetchSeconds;
        const auto remaining = slot.waiters.empty() ? slot.tokens.taken(arrival) : std::nullopt;
        if (remaining) {
            slot.tokens = *remaining;
            mustFetch = slot.lifetime > 0ms && slot.tokens.available(arrival) < slot.lastBatchSize / RefetchDivisor;
        } else if (arrival < slot.refuseUntil || static_cast<double>(slot.waiters.size()) >= maxWaiters) {
            co_return refuse(slot.refuseUntil - arrival);
        } else {
            waiter = std::make_shared<Waiter>(m_context->executor, arrival + hold);
            slot.waiters.push_back(waiter);
            mustFetch = true;
            mustSweep = !slot.isSweeping;
            slot.isSweeping = true;
        }
        mustFetch = mustFetch && !slot.isFetching;
        slot.isFetching = slot.isFetching || mustFetch;
    }
    if (mustFetch) {
        startFetch(workspace);
    }
    if (mustSweep) {
        startSweep(workspace);
    }
    if (!waiter) {
        ++m_totals.admitted;
        co_return Admission();
    }
    ++m_totals.held;
    std::function<void()> cancel = [waiter] { waiter->signal.cancel(); };
    co_await async::awaitOn<bool>(waiter->strand, wait(waiter), std::move(cancel));
    const core::TimePoint now = m_hooks.now();
    const std::scoped_lock lock(shard.mutex);
    std::erase(shard.slots[workspace].waiters, waiter);
    if (waiter->tokenUntil && now < *waiter->tokenUntil) {
        ++m_totals.admitted;
        co_return Admission();
    }
    co_return refuse(waiter->retryAfter.value_or(hold));
}

asio::awaitable<bool> EntryLimiter::wait(WaiterPointer waiter)
{
    if (!waiter->isWoken) {
        co_await waiter->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return waiter->isWoken;
}

void EntryLimiter::wake(const WaiterPointer &waiter)
{
    asio::post(waiter->strand, [waiter] {
        waiter->isWoken = true;
        waiter->signal.cancel();
    });
}

void EntryLimiter::startFetch(const core::WorkspaceId &workspace)
{
    asio::co_spawn(
        m_context->executor,
        [](std::shared_ptr<EntryLimiter> self, core::WorkspaceId name) -> asio::awaitable<void> {
            co_await self->fetchAll(name);
        }(shared_from_this(), workspace),
        asio::detached);
}

void EntryLimiter::startSweep(const core::WorkspaceId &workspace)
{
    asio::co_spawn(
        m_context->executor,
        [](std::shared_ptr<EntryLimiter> self, core::WorkspaceId name) -> asio::awaitable<void> {
            co_await self->sweep(name);
        }(shared_from_this(), workspace),
        asio::detached);
}

asio::awaitable<void> EntryLimiter::sweep(core::WorkspaceId workspace)
{
    while (const auto pause = refuseExpired(workspace)) {
        co_await m_context->sleep(*pause);
    }
}

std::optional<core::Duration> EntryLimiter::refuseExpired(const core::WorkspaceId &workspace)
{
    const core::TimePoint now = m_hooks.now();
    Shard &shard = shardOf(workspace);
    const std::scoped_lock lock(shard.mutex);
    Slot &slot = shard.slots[workspace];
    refuseExpiring(slot, now, 0ms);
    slot.isSweeping = !slot.waiters.empty();
    if (!slot.isSweeping) {
        return std::nullopt;
    }
    const auto next =
        std::min_element(slot.waiters.begin(), slot.waiters.end(), [](const auto &one, const auto &other) {
            return one->deadline < other->deadline;
        });
    return (*next)->deadline - now;
}

asio::awaitable<void> EntryLimiter::fetchAll(core::WorkspaceId workspace)
{
    while (const auto fetch = nextFetch(workspace)) {
        const core::TimePoint sentAt = m_hooks.now();
        const wire::GrantReply reply = co_await request(workspace, *fetch);
        const core::Duration pause = apply(workspace, *fetch, reply, sentAt);
        if (pause > 0ms) {
            co_await m_context->sleep(pause);
        }
    }
}

std::vector<core::HostId> EntryLimiter::targetsFor(const core::WorkspaceId &workspace) const
{
    std::vector<core::HostId> targets =
        core::rendezvousOrder(workspace.value(), m_hooks.liveHosts(m_settings.dataCentre));
    targets.resize(std::min(targets.size(), LocalTargets));
    std::vector<core::HostId> remote;
    for (const core::DataCentreId &dataCentre : m_settings.dataCentres) {
        const core::HostId owner = dataCentre == m_settings.dataCentre
                                       ? core::HostId()
                                       : core::rendezvousFirst(workspace.value(), m_hooks.liveHosts(dataCentre));
        if (!owner.isEmpty()) {
            remote.push_back(owner);
        }
    }
    if (!remote.empty()) {
        // A random first data centre spreads the demand of a failed owner.
        std::rotate(remote.begin(), remote.begin() + static_cast<long>(m_hooks.random() % remote.size()), remote.end());
    }
    targets.insert(targets.end(), remote.begin(), remote.end());
    return targets;
}

std::size_t EntryLimiter::prefetch(const Slot &slot, core::TimePoint now)
{
    if (slot.waiters.size() > slot.lastBatchSize) {
        return 0; // During a burst, prefetched tokens would be missing on other hosts.
    }
    const double expected = std::min(slot.demand.rate(now) * seconds(slot.lifetime), slot.maxPrefetch);
    const auto count = static_cast<std::size_t>(expected);
    const std::size_t cached = slot.tokens.available(now);
    return count > cached ? count - cached : 0;
}

std::optional<EntryLimiter::Fetch> EntryLimiter::nextFetch(const core::WorkspaceId &workspace)
{
    const core::TimePoint now = m_hooks.now();
    std::optional<std::vector<core::HostId>> targets;
    Shard &shard = shardOf(workspace);
    for (;;) {
        {
            const std::scoped_lock lock(shard.mutex);
            Slot &slot = shard.slots[workspace];
            if (targets) {
                slot.targets = std::move(*targets);
                slot.target = 0;
                slot.targetsUntil = now + TargetsLifetime;
            }
            if (slot.target < slot.targets.size() && (targets || now < slot.targetsUntil)) {
                const std::size_t wanted = slot.waiters.size() + prefetch(slot, now);
                slot.isFetching = wanted > 0;
                if (!slot.isFetching) {
                    return std::nullopt;
                }
                return Fetch{slot.targets[slot.target],
                             static_cast<std::uint32_t>(wanted),
                             slot.target + 1 == slot.targets.size()};
            }
            if (targets) {
                slot.isFetching = false;
                return std::nullopt;
            }
        }
        targets = targetsFor(workspace);
    }
}

asio::awaitable<wire::GrantReply> EntryLimiter::request(core::WorkspaceId workspace, Fetch fetch)
{
    wire::GrantRequest grant(wire::GrantRequestFields{workspace, fetch.tokens});
    if (fetch.host == m_settings.self) {
        co_return co_await m_bucketManager->grant(m_settings.self, std::move(grant));
    }
    ++m_totals.grants;
    wire::Message message = std::move(grant);
    const auto reply = co_await m_hooks.call(fetch.host, std::move(message), GrantTimeout);
    const auto *answer = reply ? std::get_if<wire::GrantReply>(&*reply) : nullptr;
    co_return answer != nullptr ? *answer : wire::GrantReply();
}

core::Duration EntryLimiter::apply(const core::WorkspaceId &workspace,
                                   const Fetch &fetch,
                                   const wire::GrantReply &reply,
                                   core::TimePoint sentAt)
{
    const core::TimePoint now = m_hooks.now();
    Shard &shard = shardOf(workspace);
    const std::scoped_lock lock(shard.mutex);
    Slot &slot = shard.slots[workspace];
    if (reply->status == wire::GrantStatus::Granted) {
        const bool isPlentiful = reply->tokens >= fetch.tokens && reply->availableIn == 0ms;
        slot.lifetime = isPlentiful ? reply->lifetime : 0ms;
        slot.lastBatchSize = reply->tokens;
        slot.refuseUntil = {};
        slot.tokens = slot.tokens.granted(reply->tokens, sentAt + reply->lifetime, now);
        assignTokens(slot, now);
        return slot.waiters.empty() || isPlentiful ? 0ms : reply->availableIn;
    }
    slot.lifetime = 0ms;
    const bool isLater = reply->status == wire::GrantStatus::Later;
    if (isLater && reply->availableIn <= MaxHold) {
        refuseExpiring(slot, now, reply->availableIn);
        return reply->availableIn;
    }
    // Another data centre may have tokens while this owner has none or does not respond.
    ++slot.target;
    if (!fetch.isLastTarget) {
        return 0ms;
    }
    if (isLater) {
        slot.refuseUntil = now + std::min(MaxRefusalTime, reply->availableIn);
        refuseExpiring(slot, now, reply->availableIn);
    }
    return FailureRetryDelay;
}

void EntryLimiter::assignTokens(Slot &slot, core::TimePoint now)
{
    while (!slot.waiters.empty()) {
        const auto until = slot.tokens.nextExpiry(now);
        const auto remaining = slot.tokens.taken(now);
        if (!until || !remaining) {
            return;
        }
        slot.tokens = *remaining;
        slot.waiters.front()->tokenUntil = until;
        wake(slot.waiters.front());
        slot.waiters.pop_front();
    }
}

void EntryLimiter::refuseExpiring(Slot &slot, core::TimePoint now, core::Duration wait)
{
    std::erase_if(slot.waiters, [&](const WaiterPointer &waiter) {
        if (waiter->deadline > now + wait) {
            return false;
        }
        waiter->retryAfter = std::max<core::Duration>(wait, MaxHold);
        wake(waiter);
        return true;
    });
}

void EntryLimiter::tick()
{
    const core::TimePoint now = m_hooks.now();
    for (Shard &shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        std::erase_if(shard.slots, [&](const auto &entry) {
            const Slot &slot = entry.second;
            return !slot.isFetching && !slot.isSweeping && slot.waiters.empty()
                   && now > slot.lastUsed + SlotIdleTimeout;
        });
    }
}

}
