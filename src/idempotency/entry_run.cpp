#include "idempotency/entry_run.h"

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
        , m_entered(now)
        , m_deadline(now + m_call->remaining - std::min(AnswerMargin, m_call->remaining / AnswerMarginDivisor))
    {
    }

    [[nodiscard]] const std::string &name() const noexcept
    {
        return m_call->claimName;
    }
    [[nodiscard]] core::TimePoint entered() const noexcept
    {
        return m_entered;
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
        fields.call = m_call.with(&wire::CallRequestFields::remaining, m_deadline - now);
        fields.age = now - m_entered;
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
    [[nodiscard]] Outcome outcome(UnreachableRule rule, bool isPassedOnBefore) const noexcept
    {
        if (m_mayHaveArrived) {
            return Outcome::Unknown;
        }
        const bool isOnlySend = m_origin == NameOrigin::Entry;
        const bool isFirstHere = rule == UnreachableRule::ThisNode && !isPassedOnBefore;
        return isOnlySend || isFirstHere ? Outcome::NotRun : Outcome::Unknown;
    }

private:
    wire::CallRequest m_call;
    NameOrigin m_origin;
    core::TimePoint m_entered;
    core::TimePoint m_deadline;
    core::HostId m_challenger;
    std::uint64_t m_challenge = 0;
    std::uint32_t m_challenges = 0;
    std::uint32_t m_sent = 0;
    bool m_mayHaveArrived = false;
};

using SendPtr = std::shared_ptr<Send>;

/** @brief Remembers that this node forwarded the name; only needed with UnreachableRule::ThisNode. */
void notePassedOn(const StatePtr &state, const Send &send)
{
    if (state->settings.unreachableRule == UnreachableRule::ThisNode) {
        const core::TimePoint now = state->hooks.now();
        state->passedOn.insertOrAssign(send.name(), now);
        if (state->passedOn.size() > state->settings.records) {
            const core::Duration retention = state->settings.retention;
            state->passedOn.eraseIf([&](const auto &, core::TimePoint since) { return now - since >= retention; });
        }
    }
}

wire::CallResponse unanswered(const StatePtr &state, const Send &send, RefusalReason reason, bool isPassedOnBefore)
{
    const Outcome outcome = send.outcome(state->settings.unreachableRule, isPassedOnBefore);
    return refusalOf(reason, outcome, "the home of this name did not answer");
}

asio::awaitable<wire::Result<wire::Message>> askHome(StatePtr state, SendPtr send, core::HostId home)
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

enum class Next {
    Done,
    Again,
    AfterPause,
};

Next judge(Send &send, const core::HostId &home, const wire::Result<wire::Message> &reply)
{
    if (!reply) {
        send.noteFailure(reply.error());
        return Next::AfterPause;
    }
    if (std::holds_alternative<wire::CallResponse>(*reply)) {
        return Next::Done;
    }
    if (const auto *challenge = std::get_if<wire::ClaimReply>(&*reply)) {
        return send.noteChallenge(home, (*challenge)->challenge) ? Next::Again : Next::AfterPause;
    }
    return Next::AfterPause;
}

}

asio::awaitable<wire::CallResponse> enter(StatePtr state, wire::CallRequest call, NameOrigin origin)
{
    const auto send = std::make_shared<Send>(std::move(call), origin, state->hooks.now());
    const bool isPassedOnBefore = state->passedOn.find(send->name()).has_value();
    std::uint32_t pauses = 0;
    while (true) {
        const core::TimePoint now = state->hooks.now();
        if (now >= send->deadline()) {
            co_return unanswered(state, *send, RefusalReason::DeadlineExceeded, isPassedOnBefore);
        }
        const core::HostId home = state->orderOf(send->name()).home();
        const bool isHopeless = home.isEmpty() || now - send->entered() >= state->settings.homePatience;
        if (isHopeless && !send->mayHaveArrived()) {
            co_return unanswered(state, *send, RefusalReason::HomeUnreachable, isPassedOnBefore);
        }
        Next next = Next::AfterPause;
        if (!home.isEmpty()) {
            auto asking = askHome(state, send, home);
            const auto reply = co_await std::move(asking);
            next = judge(*send, home, reply);
            if (next == Next::Done || send->mayHaveArrived()) {
                notePassedOn(state, *send);
            }
            if (next == Next::Done) {
                co_return std::get<wire::CallResponse>(*reply);
            }
            state->counts.resent.fetch_add(1);
        }
        const auto pause = RetryBackoff.pause(pauses, send->deadline() - state->hooks.now(), state->hooks.random());
        if (next == Next::AfterPause && pause) {
            ++pauses;
            co_await sleepFor(state->hooks.sleep, *pause);
        }
    }
}

}
