#include "idempotency/entry_run.h"

#include "berylspring/wire/call_time.h"
#include "idempotency/home_run.h"

#include <algorithm>
#include <utility>

namespace berylspring::idempotency::detail {

namespace asio = boost::asio;

using core::Outcome;
using core::RefusalReason;

namespace {

/** Time reserved for the response to travel back, so that the caller gets the outcome before its own timeout. */
constexpr core::Duration AnswerMargin = std::chrono::milliseconds(20);
constexpr core::Duration::rep AnswerMarginDivisor = 10;
/** Number of challenges of one send that are answered without a pause. */
constexpr std::uint32_t MaxChallenges = 3;

/** @brief State of one send at its entry. */
class Send
{
public:
    Send(wire::CallRequest call, NameOrigin origin, core::TimePoint now)
        : m_call(std::move(call))
        , m_origin(origin)
        , m_arrived(now)
        , m_deadline(now + m_call->remaining - std::min(AnswerMargin, m_call->remaining / AnswerMarginDivisor))
    {
    }

    [[nodiscard]] const std::string &name() const noexcept
    {
        return m_call->claimName;
    }
    [[nodiscard]] core::TimePoint arrived() const noexcept
    {
        return m_arrived;
    }
    [[nodiscard]] core::TimePoint deadline() const noexcept
    {
        return m_deadline;
    }
    [[nodiscard]] bool mayHaveArrived() const noexcept
    {
        return m_mayHaveArrived;
    }
    [[nodiscard]] std::uint32_t sent() const noexcept
    {
        return m_sent;
    }

    [[nodiscard]] wire::HomeRequest toHome(const core::HostId &home, core::TimePoint now)
    {
        ++m_sent;
        wire::HomeRequestFields fields;
        fields.age = now - m_arrived;
        // The answer margin in the deadline is not elapsed time, so it does not shorten the time of the root.
        fields.call = wire::withTimes(m_call, m_deadline - now, fields.age);
        fields.challenge = m_challenger == home ? std::exchange(m_challenge, 0U) : 0U;
        return wire::HomeRequest(std::move(fields));
    }

    /** @return Whether the request should be sent again without a pause. */
    [[nodiscard]] bool noteChallenge(const core::HostId &home, std::uint64_t challenge) noexcept
    {
        m_challenger = home;
        m_challenge = challenge;
        return ++m_challenges <= MaxChallenges;
    }
    void noteFailure(const wire::Error &error) noexcept
    {
        m_mayHaveArrived = m_mayHaveArrived || error.maybeSent();
    }

    /** @return The outcome to report for a send that no home has answered. */
    [[nodiscard]] Outcome outcome(UnreachablePolicy policy, bool wasForwardedBefore) const noexcept
    {
        if (m_mayHaveArrived) {
            return Outcome::Unknown;
        }
        const bool isOnlySend = m_origin == NameOrigin::Entry;
        const bool isFirstHere = policy == UnreachablePolicy::NotForwardedHere && !wasForwardedBefore;
        return isOnlySend || isFirstHere ? Outcome::NotRun : Outcome::Unknown;
    }

private:
    wire::CallRequest m_call;
    NameOrigin m_origin;
    core::TimePoint m_arrived;
    core::TimePoint m_deadline;
    core::HostId m_challenger;
    std::uint64_t m_challenge = 0;
    std::uint32_t m_challenges = 0;
    std::uint32_t m_sent = 0;
    bool m_mayHaveArrived = false;
};

using SendPtr = std::shared_ptr<Send>;

/** @brief Remembers that this node forwarded the name; only needed with UnreachablePolicy::NotForwardedHere. */
void noteForwarded(const StatePtr &state, const Send &send)
{
    if (state->settings.unreachablePolicy == UnreachablePolicy::NotForwardedHere) {
        const core::TimePoint now = state->hooks.now();
        state->forwardedNames.insertOrAssign(send.name(), now);
        if (state->forwardedNames.size() > state->settings.records) {
            const core::Duration retention = state->settings.retention;
            state->forwardedNames.eraseIf(
                [&](const auto &, core::TimePoint since) { return now - since >= retention; });
        }
    }
}

wire::CallResponse
unansweredRefusal(const StatePtr &state, const Send &send, RefusalReason reason, bool wasForwardedBefore)
{
    const Outcome outcome = send.outcome(state->settings.unreachablePolicy, wasForwardedBefore);
    return refusalOf(reason, outcome, "the home of this name did not answer");
}

asio::awaitable<wire::Result<wire::Message>> requestHome(StatePtr state, SendPtr send, core::HostId home)
{
    const core::TimePoint now = state->hooks.now();
    wire::HomeRequest request = send->toHome(home, now);
    if (home == state->settings.self) {
        const SendTime time(request->age, request->challenge);
        auto serving = serve(state, request->call, time);
        co_return co_await std::move(serving);
    }
    const core::Duration timeout = send->deadline() - now;
    co_return co_await state->hooks.call(std::move(home), wire::Message(std::move(request)), timeout);
}

enum class NextAction {
    Done,
    RetryNow,
    RetryAfterPause,
};

NextAction nextAction(Send &send, const core::HostId &home, const wire::Result<wire::Message> &reply)
{
    if (!reply) {
        send.noteFailure(reply.error());
        return NextAction::RetryAfterPause;
    }
    if (std::holds_alternative<wire::CallResponse>(*reply)) {
        return NextAction::Done;
    }
    if (const auto *challenge = std::get_if<wire::ClaimReply>(&*reply)) {
        return send.noteChallenge(home, (*challenge)->challenge) ? NextAction::RetryNow : NextAction::RetryAfterPause;
    }
    return NextAction::RetryAfterPause;
}

}

asio::awaitable<wire::CallResponse> sendToHome(StatePtr state, wire::CallRequest call, NameOrigin origin)
{
    const auto send = std::make_shared<Send>(std::move(call), origin, state->hooks.now());
    const bool wasForwardedBefore = state->forwardedNames.find(send->name()).has_value();
    std::uint32_t pauses = 0;
    while (true) {
        const core::TimePoint now = state->hooks.now();
        if (now >= send->deadline()) {
            co_return unansweredRefusal(state, *send, RefusalReason::DeadlineExceeded, wasForwardedBefore);
        }
        const core::HostId home = state->orderOf(send->name()).home();
        const bool isHomeUnreachable = home.isEmpty() || now - send->arrived() >= state->settings.homeRetryTimeout;
        if (isHomeUnreachable && !send->mayHaveArrived()) {
            co_return unansweredRefusal(state, *send, RefusalReason::HomeUnreachable, wasForwardedBefore);
        }
        NextAction next = NextAction::RetryAfterPause;
        if (!home.isEmpty()) {
            auto asking = requestHome(state, send, home);
            const auto reply = co_await std::move(asking);
            next = nextAction(*send, home, reply);
            if (next == NextAction::Done || send->mayHaveArrived()) {
                noteForwarded(state, *send);
            }
            if (next == NextAction::Done) {
                co_return std::get<wire::CallResponse>(*reply);
            }
            state->counts.resent.fetch_add(1);
        }
        const auto pause = RetryBackoff.pause(pauses, send->deadline() - state->hooks.now(), state->hooks.random());
        if (next == NextAction::RetryAfterPause && pause) {
            ++pauses;
            co_await sleepFor(state->hooks.sleep, *pause);
        }
    }
}

}
