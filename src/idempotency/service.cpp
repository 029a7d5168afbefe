#include "berylspring/idempotency/service.h"

#include "idempotency/entry_run.h"
#include "idempotency/handover.h"
#include "idempotency/home_run.h"
#include "idempotency/state.h"

#include <utility>

namespace berylspring::idempotency {

namespace asio = boost::asio;

namespace {

wire::Message refused(std::string detail)
{
    return wire::Refused(wire::RefusedFields{std::move(detail)});
}

wire::Message acceptClaim(detail::State &state, const core::HostId &from, const wire::ClaimRequest &request)
{
    // A claim accepted after the records were handed over would be lost when this process exits.
    if (state.isHandingOver) {
        return refused("handing over");
    }
    const core::TimePoint now = state.hooks.now();
    state.notePeerUptime(from, request->uptime);
    const wire::ClaimReply reply = state.table.accept(request, now);
    auto &count = reply->isAccepted ? state.counts.claimsAccepted : state.counts.claimsRefused;
    count.fetch_add(1);
    return reply.with(&wire::ClaimReplyFields::uptime, state.uptime());
}

wire::Message acceptHandover(detail::State &state, const wire::ClaimHandover &handover)
{
    if (state.isHandingOver) {
        return refused("handing over");
    }
    const core::TimePoint now = state.hooks.now();
    for (const wire::ClaimRecord &record : handover->records) {
        state.table.merge(record, now);
    }
    return wire::Ack();
}

}

IdempotencyService::IdempotencyService(asio::any_io_executor executor,
                                       IdempotencySettings settings,
                                       IdempotencyHooks hooks)
    : m_state(std::make_shared<detail::State>(std::move(executor), std::move(settings), std::move(hooks)))
{
}

asio::awaitable<wire::CallResponse> IdempotencyService::run(wire::CallRequest call, NameOrigin origin)
{
    return detail::sendToHome(m_state, std::move(call), origin);
}

asio::awaitable<wire::Message> IdempotencyService::handle(core::HostId from, wire::Message message)
{
    if (const auto *request = std::get_if<wire::HomeRequest>(&message)) {
        const SendTime send((*request)->age, (*request)->challenge);
        auto serving = detail::serve(m_state, (*request)->call, send);
        co_return co_await std::move(serving);
    }
    if (const auto *claim = std::get_if<wire::ClaimRequest>(&message)) {
        co_return acceptClaim(*m_state, from, *claim);
    }
    if (const auto *handover = std::get_if<wire::ClaimHandover>(&message)) {
        co_return acceptHandover(*m_state, *handover);
    }
    co_return refused("no message of at-most-once requests");
}

asio::awaitable<bool> IdempotencyService::handOver()
{
    return detail::handOverAll(m_state);
}

IdempotencyCounters IdempotencyService::counters() const
{
    const detail::Counts &counts = m_state->counts;
    IdempotencyCounters counters;
    counters.started = counts.started;
    counters.dispatched = counts.dispatched;
    counters.waited = counts.waited;
    counters.replayed = counts.replayed;
    counters.unknown = counts.unknown;
    counters.mismatched = counts.mismatched;
    counters.released = counts.released;
    counters.claimsAccepted = counts.claimsAccepted;
    counters.claimsRefused = counts.claimsRefused;
    counters.resent = counts.resent;
    counters.recordsHandedOver = counts.recordsHandedOver;
    counters.recordsNotHandedOver = counts.recordsNotHandedOver;
    counters.droppedAnswers = m_state->table.droppedAnswers();
    counters.records = m_state->table.size();
    counters.storedBytes = m_state->table.storedBytes();
    return counters;
}

}
