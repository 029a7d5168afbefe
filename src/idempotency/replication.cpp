#include "idempotency/replication.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::idempotency::detail {

namespace asio = boost::asio;

namespace {

/** Attempts to send a result to a standby. If all fail, its record stays Dispatched, so the name can't run again. */
constexpr std::uint32_t PublishAttempts = 5;

/** @brief A standby's reply, or nothing if it did not answer. */
struct Answer
{
    core::HostId host;
    std::optional<wire::ClaimReply> reply;
};

using Answers = asio::experimental::concurrent_channel<void(boost::system::error_code, Answer)>;

asio::awaitable<std::optional<wire::ClaimReply>>
sendTo(StatePtr state, core::HostId host, wire::ClaimRequest request, core::Duration timeout)
{
    wire::Message message = request.with(&wire::ClaimRequestFields::uptime, state->uptime());
    const auto result = co_await state->hooks.call(host, std::move(message), timeout);
    if (!result || !std::holds_alternative<wire::ClaimReply>(*result)) {
        co_return std::nullopt;
    }
    const auto &reply = std::get<wire::ClaimReply>(*result);
    state->notePeerUptime(host, reply->uptime);
    co_return reply;
}

asio::awaitable<void> askOne(StatePtr state,
                             core::HostId host,
                             wire::ClaimRequest request,
                             core::Duration timeout,
                             std::shared_ptr<Answers> answers)
{
    Answer answer{host, std::nullopt};
    try {
        answer.reply = co_await sendTo(state, host, std::move(request), timeout);
    } catch (const std::exception &) {
        // An exception counts as a missing reply: the claim may have arrived.
        answer.reply.reset();
    }
    answers->try_send(boost::system::error_code(), std::move(answer));
}

asio::awaitable<std::vector<Answer>>
askAll(StatePtr state, std::vector<core::HostId> hosts, wire::ClaimRequest request, core::Duration timeout)
{
    std::vector<Answer> received;
    if (hosts.size() == 1) {
        auto reply = co_await sendTo(state, hosts.front(), std::move(request), timeout);
        received.push_back({hosts.front(), std::move(reply)});
        co_return received;
    }
    const auto answers = std::make_shared<Answers>(state->executor, hosts.size());
    for (const core::HostId &host : hosts) {
        asio::co_spawn(state->executor, askOne(state, host, request, timeout, answers), asio::detached);
    }
    while (received.size() < hosts.size()) {
        auto answer = co_await answers->async_receive(asio::use_awaitable);
        received.push_back(std::move(answer));
    }
    co_return received;
}

/** @brief State machine of one replication, driven by replicate(). */
class Replication
{
public:
    Replication(const State &state, const Claim &claim)
        : m_state(state)
        , m_claim(claim)
    {
        acceptSelfOnly();
    }

    /** @return The hosts to send the claim to next; empty when the result is final. */
    [[nodiscard]] std::vector<core::HostId> nextHosts(const HomeOrder &order, core::TimePoint now)
    {
        if (order.home() != m_state.settings.self) {
            m_result.kind = ReplicationResult::Kind::NotHome;
            return {};
        }
        // A stopped host may have handed its record to a standby that had accepted the claim before: ask all again.
        if (m_order && order.hasRemovedHostSince(*m_order)) {
            acceptSelfOnly();
        }
        m_order = order;
        const auto uptimeOf = [&](const core::HostId &host) {
            const auto since = m_state.peerStarts.find(host);
            return since ? std::optional<core::Duration>(now - *since) : std::nullopt;
        };
        const ClaimStep step = order.next(m_accepted, uptimeOf);
        m_result.kind = step.kind == ClaimStep::Kind::Proceed ? ReplicationResult::Kind::Replicated
                                                              : ReplicationResult::Kind::RecordsLost;
        return step.kind == ClaimStep::Kind::Ask ? step.hosts : std::vector<core::HostId>();
    }

    void note(const Answer &answer, core::TimePoint now)
    {
        if (std::find(m_result.holders.begin(), m_result.holders.end(), answer.host) == m_result.holders.end()) {
            m_result.holders.push_back(answer.host);
        }
        if (!answer.reply) {
            return;
        }
        const wire::ClaimReply &reply = *answer.reply;
        if (!reply->isAccepted) {
            noteConflict(reply->existing, now);
            return;
        }
        if (reply->existing) {
            m_result.notRunSince = std::max(m_result.notRunSince, std::optional(now - (*reply->existing)->age));
        }
        m_accepted.insert_or_assign(answer.host, reply->uptime);
    }

    [[nodiscard]] bool hasConflict() const
    {
        return m_result.existing.has_value();
    }

    [[nodiscard]] ReplicationResult take(ReplicationResult::Kind kind)
    {
        m_result.kind = kind;
        return std::move(m_result);
    }
    [[nodiscard]] ReplicationResult take()
    {
        return std::move(m_result);
    }

private:
    void acceptSelfOnly()
    {
        m_accepted.clear();
        m_accepted.emplace(m_state.settings.self, m_state.uptime());
    }

    /** A refusal without a record has no known cause; resolveConflict() treats the empty name as unusable. */
    void noteConflict(const std::optional<wire::ClaimRecord> &existing, core::TimePoint now)
    {
        const wire::ClaimRecord record = existing.value_or(m_claim.toRecord(std::string(), now));
        const bool isBetter =
            !m_result.existing
            || Claim::fromRecord(record, now).takesPrecedenceOver(Claim::fromRecord(*m_result.existing, now));
        if (isBetter) {
            m_result.existing = record;
        }
    }

    const State &m_state;
    const Claim &m_claim;
    std::optional<HomeOrder> m_order; ///< Of the last round.
    std::map<core::HostId, core::Duration> m_accepted;
    ReplicationResult m_result;
};

}

asio::awaitable<ReplicationResult> replicate(StatePtr state, std::string name, Claim claim, core::TimePoint deadline)
{
    Replication replication(*state, claim);
    for (std::uint32_t round = 0;; ++round) {
        const core::TimePoint now = state->hooks.now();
        const core::Duration remaining = deadline - now;
        if (remaining <= core::Duration::zero()) {
            co_return replication.take(ReplicationResult::Kind::TimedOut);
        }
        const HomeOrder order = state->orderOf(name);
        const auto hosts = replication.nextHosts(order, now);
        if (hosts.empty()) {
            co_return replication.take();
        }
        wire::ClaimRequestFields fields;
        fields.record = claim.withState(wire::ClaimState::Dispatched).toRecord(name, now);
        wire::ClaimRequest request(std::move(fields));
        const auto answers = co_await askAll(state, hosts, std::move(request), std::min(remaining, ClaimTimeout));
        bool isAnswered = true;
        for (const Answer &answer : answers) {
            replication.note(answer, state->hooks.now());
            isAnswered = isAnswered && answer.reply.has_value();
        }
        if (replication.hasConflict()) {
            co_return replication.take(ReplicationResult::Kind::Conflict);
        }
        const auto pause = RetryBackoff.pause(round, deadline - state->hooks.now(), state->hooks.random());
        if (!isAnswered && pause) {
            co_await sleepFor(state->hooks.sleep, *pause);
        }
    }
}

asio::awaitable<void> sendOnce(StatePtr state, std::vector<core::HostId> hosts, wire::ClaimRequest request)
{
    if (!hosts.empty()) {
        co_await askAll(state, std::move(hosts), std::move(request), ClaimTimeout);
    }
}

namespace {

asio::awaitable<void> publishTo(StatePtr state, core::HostId host, wire::ClaimRequest request)
{
    const std::string name = request->record->name;
    for (std::uint32_t attempt = 0; attempt < PublishAttempts; ++attempt) {
        const auto reply = co_await sendTo(state, host, request, ClaimTimeout);
        if (reply) {
            co_return;
        }
        const auto pause = RetryBackoff.pause(attempt, MaxRunTime, state->hooks.random());
        co_await sleepFor(state->hooks.sleep, pause.value_or(ClaimTimeout));
        const auto standbys = state->orderOf(name).standbys();
        if (std::find(standbys.begin(), standbys.end(), host) == standbys.end()) {
            co_return;
        }
    }
}

}

void publish(const StatePtr &state, const std::vector<core::HostId> &hosts, const wire::ClaimRequest &request)
{
    for (const core::HostId &host : hosts) {
        state->publishing.fetch_add(1);
        asio::co_spawn(state->executor, publishTo(state, host, request), [state](const std::exception_ptr &) {
            state->publishing.fetch_sub(1);
        });
    }
}

}
