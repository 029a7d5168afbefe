#include "idempotency/home_run.h"

#include "berylspring/core/request_digest.h"
#include "berylspring/idempotency/claim_name.h"
#include "berylspring/wire/call_time.h"
#include "idempotency/replication.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace berylspring::idempotency::detail {

namespace asio = boost::asio;

using core::Outcome;
using core::RefusalReason;

namespace {

constexpr core::Duration EarlierRetryAfter = std::chrono::milliseconds(100);

wire::Message refused(std::string detail)
{
    return wire::Refused(wire::RefusedFields{std::move(detail)});
}

wire::Message unknownOf(const StatePtr &state, std::string detail)
{
    state->counts.unknown.fetch_add(1);
    return refusalOf(RefusalReason::ClaimUnknown, Outcome::Unknown, std::move(detail));
}

wire::Message mismatchOf(const StatePtr &state)
{
    state->counts.mismatched.fetch_add(1);
    return refusalOf(
        RefusalReason::BadRequest, Outcome::NotRun, "another request was sent with this Idempotency-Key before");
}

wire::Message challengeAt(core::TimePoint now)
{
    wire::ClaimReplyFields fields;
    fields.challenge = SendTime::challengeAt(now);
    return wire::ClaimReply(std::move(fields));
}

wire::Message earlierRefusal()
{
    auto fields = *refusalOf(RefusalReason::ClaimUnknown, Outcome::Unknown, "a later send of this name was answered");
    fields.refusal = fields.refusal->withRetryAfter(EarlierRetryAfter);
    return wire::CallResponse(std::move(fields));
}

/** @brief One attempt at this home, from the claim to the result. */
struct Attempt
{
    wire::CallRequest call;
    core::Digest digest;
    ClaimOwner owner;
    SendTime send;
    core::TimePoint started;
    core::TimePoint deadline;
    std::shared_ptr<Execution> execution;

    [[nodiscard]] const std::string &name() const
    {
        return call->claimName;
    }
    [[nodiscard]] wire::ClaimRequest record(wire::ClaimState state, bool isRelease, core::TimePoint now) const
    {
        wire::ClaimRequestFields fields;
        fields.record = Claim(owner, digest, started).withState(state).toRecord(name(), now);
        fields.isRelease = isRelease;
        return wire::ClaimRequest(std::move(fields));
    }
};

using AttemptPtr = std::shared_ptr<const Attempt>;

/** @brief Withdraws the claim without a `not-run` outcome, here and, if the messages arrive, on the standbys. */
void withdraw(const StatePtr &state, const Attempt &attempt, const std::vector<core::HostId> &holders)
{
    state->table.withdraw(attempt.name(), attempt.owner);
    publish(state, holders, attempt.record(wire::ClaimState::Claimed, true, state->hooks.now()));
}

/**
 * Records the release here and on the standbys before the caller gets `not-run`, so that no earlier send runs
 * afterwards. A standby that does not answer keeps the claim in state Dispatched and gives `unknown` if it becomes the
 * home.
 */
asio::awaitable<wire::Message>
release(StatePtr state, AttemptPtr attempt, std::vector<core::HostId> holders, wire::CallResponse response)
{
    const core::TimePoint now = state->hooks.now();
    state->table.release(attempt->name(), attempt->owner, now);
    state->counts.released.fetch_add(1);
    wire::ClaimRecord record = attempt->record(wire::ClaimState::Released, true, now)->record;
    wire::ClaimRequestFields fields;
    fields.record = record.with(&wire::ClaimRecordFields::age, core::Duration::zero());
    fields.isRelease = true;
    wire::ClaimRequest request(std::move(fields));
    co_await sendOnce(state, std::move(holders), std::move(request));
    co_return response;
}

wire::Message resolveConflict(const StatePtr &state, const Attempt &attempt, const ReplicationResult &replicated)
{
    const wire::ClaimRecord &existing = *replicated.existing;
    const core::TimePoint now = state->hooks.now();
    const bool isUsable = existing->name == attempt.name();
    if (!isUsable || existing->state == wire::ClaimState::Released) {
        withdraw(state, attempt, replicated.holders);
        return unknownOf(state, "a standby refused the claim");
    }
    publish(state, replicated.holders, attempt.record(wire::ClaimState::Claimed, true, now));
    state->table.adopt(existing, attempt.owner, now);
    if (existing->requestDigest != attempt.digest) {
        return mismatchOf(state);
    }
    if (existing->state == wire::ClaimState::Answered && existing->response) {
        state->counts.replayed.fetch_add(1);
        return *existing->response;
    }
    return unknownOf(state, "another home has a claim of this name");
}

/** @return The response if the attempt must end without a dispatch, else nothing. */
std::optional<wire::Message>
beforeDispatch(const StatePtr &state, const Attempt &attempt, const ReplicationResult &replicated)
{
    switch (replicated.kind) {
    case ReplicationResult::Kind::Conflict:
        return resolveConflict(state, attempt, replicated);
    case ReplicationResult::Kind::RecordsLost:
        withdraw(state, attempt, replicated.holders);
        return unknownOf(state, "the hosts that may have run this name are gone");
    case ReplicationResult::Kind::TimedOut:
        withdraw(state, attempt, replicated.holders);
        return unknownOf(state, "the standby did not answer in time");
    case ReplicationResult::Kind::NotHome:
        withdraw(state, attempt, replicated.holders);
        return refused("not the home any more");
    case ReplicationResult::Kind::Replicated:
        break;
    }
    if (!replicated.notRunSince) {
        return std::nullopt;
    }
    state->table.noteRelease(attempt.name(), attempt.owner, *replicated.notRunSince);
    const core::TimePoint now = state->hooks.now();
    const SendOrder order = attempt.send.comparedTo(*replicated.notRunSince, now);
    if (order == SendOrder::Later) {
        return std::nullopt;
    }
    withdraw(state, attempt, replicated.holders);
    return order == SendOrder::Earlier ? earlierRefusal() : challengeAt(now);
}

asio::awaitable<wire::Message> dispatch(StatePtr state, AttemptPtr attempt, std::vector<core::HostId> holders)
{
    const core::TimePoint dispatchedAt = state->hooks.now();
    state->counts.dispatched.fetch_add(1);
    wire::CallRequest call =
        wire::withTimes(attempt->call, attempt->deadline - dispatchedAt, dispatchedAt - attempt->started);
    wire::CallResponse response = co_await state->hooks.dispatch(std::move(call));
    const bool isRefused = response->refusal.has_value();
    if (isRefused && response->refusal->outcome() == Outcome::NotRun) {
        auto released = release(state, attempt, std::move(holders), std::move(response));
        co_return co_await std::move(released);
    }
    const core::TimePoint now = state->hooks.now();
    if (isRefused) {
        state->table.markUnknown(attempt->name(), attempt->owner);
        publish(state, holders, attempt->record(wire::ClaimState::Unknown, false, now));
        co_return response;
    }
    // The response does not wait for the standby. If the home fails before the record arrives there, the claim on the
    // standby is still Dispatched, so a resend gets `unknown` and does not run again.
    state->table.storeAnswer(attempt->name(), attempt->owner, response);
    auto request = *attempt->record(wire::ClaimState::Answered, false, now);
    request.record = request.record.with(&wire::ClaimRecordFields::response, response);
    publish(state, holders, wire::ClaimRequest(std::move(request)));
    co_return response;
}

asio::awaitable<wire::Message> attemptOnce(StatePtr state, AttemptPtr attempt)
{
    Claim claim(attempt->owner, attempt->digest, attempt->started);
    auto replicating = replicate(state, attempt->name(), std::move(claim), attempt->deadline);
    ReplicationResult replicated = co_await std::move(replicating);
    auto ended = beforeDispatch(state, *attempt, replicated);
    if (ended) {
        co_return std::move(*ended);
    }
    // This process may have been paused during the replication, and another host may have become the home.
    if (state->hooks.now() >= attempt->deadline) {
        wire::CallResponse late = refusalOf(RefusalReason::DeadlineExceeded, Outcome::NotRun);
        auto released = release(state, attempt, std::move(replicated.holders), std::move(late));
        co_return co_await std::move(released);
    }
    if (state->orderOf(attempt->name()).home() != state->settings.self
        || !state->table.markDispatched(attempt->name(), attempt->owner)) {
        withdraw(state, *attempt, replicated.holders);
        co_return refused("not the home any more");
    }
    auto dispatching = dispatch(state, attempt, std::move(replicated.holders));
    co_return co_await std::move(dispatching);
}

/** @brief Runs an attempt to its end, even if no caller waits for it any more. */
asio::awaitable<void> execute(StatePtr state, AttemptPtr attempt)
{
    wire::Message result;
    try {
        auto running = attemptOnce(state, attempt);
        result = co_await std::move(running);
    } catch (const std::exception &failure) {
        state->table.markUnknown(attempt->name(), attempt->owner);
        result = unknownOf(state, failure.what());
    }
    // After a withdrawal or a release another attempt may have been registered already.
    state->executions.update(attempt->name(), [&](std::optional<std::shared_ptr<Execution>> &running) {
        if (running == attempt->execution) {
            running.reset();
        }
    });
    attempt->execution->finish(std::move(result));
}

/** @brief Decides about a send and registers a new execution under one lock, so that no concurrent send misses it. */
BeginResult beginOrJoin(const StatePtr &state,
                        const wire::CallRequest &call,
                        const core::Digest &digest,
                        SendTime send,
                        std::shared_ptr<Execution> &execution)
{
    return state->executions.update(call->claimName, [&](std::optional<std::shared_ptr<Execution>> &running) {
        BeginResult begin = state->table.begin(call->claimName, digest, state->hooks.now(), send);
        if (begin.kind == BeginResult::Kind::Start) {
            running = std::make_shared<Execution>();
        }
        execution = running.value_or(nullptr);
        return begin;
    });
}

void start(const StatePtr &state,
           const wire::CallRequest &call,
           const core::Digest &digest,
           SendTime send,
           const ClaimOwner &owner,
           std::shared_ptr<Execution> execution)
{
    state->counts.started.fetch_add(1);
    const core::TimePoint now = state->hooks.now();
    const core::TimePoint deadline = now + std::min(call->remaining, MaxRunTime);
    auto attempt =
        std::make_shared<const Attempt>(Attempt{call, digest, owner, send, now, deadline, std::move(execution)});
    asio::co_spawn(state->executor, execute(state, std::move(attempt)), asio::detached);
}

asio::awaitable<wire::Message> wait(StatePtr state, std::shared_ptr<Execution> execution, core::Duration remaining)
{
    auto waiting = waitFor(state->executor, state->hooks.sleep, std::move(execution), remaining);
    auto result = co_await std::move(waiting);
    if (!result) {
        co_return refusalOf(RefusalReason::DeadlineExceeded, Outcome::Unknown, "it still runs");
    }
    co_return std::move(*result);
}

}

asio::awaitable<wire::Message> serve(StatePtr state, wire::CallRequest call, SendTime send)
{
    const std::string &name = call->claimName;
    if (name.empty() || !state->isOwnDataCentre(name) || state->orderOf(name).home() != state->settings.self) {
        co_return refused("not the home of this name");
    }
    if (state->isStopping) {
        co_return refused("stopping");
    }
    const core::Digest digest = core::requestDigest(call->method, call->target, call->body, call->workspace);
    std::shared_ptr<Execution> execution;
    const BeginResult begin = beginOrJoin(state, call, digest, send, execution);
    switch (begin.kind) {
    case BeginResult::Kind::Start:
        start(state, call, digest, send, *begin.owner, execution);
        break;
    case BeginResult::Kind::Wait:
        state->counts.waited.fetch_add(1);
        break;
    case BeginResult::Kind::Replay:
        state->counts.replayed.fetch_add(1);
        co_return *begin.response;
    case BeginResult::Kind::Mismatch:
        co_return mismatchOf(state);
    case BeginResult::Kind::Earlier:
        co_return earlierRefusal();
    case BeginResult::Kind::Challenge:
        co_return challengeAt(state->hooks.now());
    case BeginResult::Kind::Full:
        co_return refusalOf(RefusalReason::Overloaded, Outcome::NotRun, "no memory for another claim");
    case BeginResult::Kind::Unknown:
        co_return unknownOf(state, "this name may have run");
    }
    if (!execution) {
        co_return unknownOf(state, "this name may have run");
    }
    auto waiting = wait(state, std::move(execution), call->remaining);
    co_return co_await std::move(waiting);
}

}
