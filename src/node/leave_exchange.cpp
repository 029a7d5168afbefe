#include "node/leave_exchange.h"

#include "berylspring/telemetry/log.h"
#include "node/background.h"
#include "node/leave_record.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

// g++ 12 reports the allocation of Asio's coroutine frames, whose operator new and delete do match.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace berylspring::node::detail {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/** How long a leave waits for the log before the copy of a peer suffices. */
constexpr core::Duration LogPatience = 300ms;
/** An endpoint waits up to 1 s for an acknowledgement. */
constexpr core::Duration StoreTimeout = 700ms;
/** Bounds the cost of ordering all members, for copies that members which have left no longer keep. */
constexpr core::Duration HolderCheckInterval = 5s;
/** The same after leaves were sent, in case they were not acknowledged. */
constexpr core::Duration DeliveryCheckInterval = 1s;

}

LeaveExchange::LeaveExchange(asio::any_io_executor executor, ProcessStart start, LeaveExchangeHooks hooks)
    : m_executor(std::move(executor))
    , m_self(start.host)
    , m_hooks(std::move(hooks))
    , m_restorer(m_executor, std::move(start), restorerHooks())
{
}

LeaveRestorerHooks LeaveExchange::restorerHooks()
{
    LeaveRestorerHooks hooks;
    hooks.log = m_hooks.log;
    hooks.call = m_hooks.call;
    hooks.witnesses = m_hooks.witnesses;
    hooks.knowsPeers = m_hooks.knowsPeers;
    hooks.found = [this](const EndpointLeaves &earlier) {
        m_hooks.restored(earlier);
        noteLeaves();
    };
    hooks.logRead = [this](const EndpointLeaves &logged, std::uint64_t generation) {
        // Taken first, since a leave may be recorded meanwhile.
        const std::uint64_t change = m_replication.latestChange();
        if (m_hooks.leaves() == logged) {
            m_replication.foundInLog(change, generation);
        }
        startStoring(m_hooks.now());
    };
    hooks.completed = m_hooks.heartbeatsAllowed;
    hooks.now = m_hooks.now;
    hooks.isStopping = m_hooks.isStopping;
    return hooks;
}

void LeaveExchange::run()
{
    m_restorer.run();
}

std::uint64_t LeaveExchange::noteLeaves()
{
    EndpointLeaves present = m_hooks.leaves();
    const std::scoped_lock lock(m_mutex);
    if (present == m_notedLeaves) {
        return m_replication.latestChange();
    }
    m_notedLeaves = std::move(present);
    m_nextHolderCheckAt = core::TimePoint::min();
    return m_replication.addChange();
}

asio::awaitable<bool> LeaveExchange::store()
{
    const std::shared_ptr<Signal> signal = subscribe();
    const std::uint64_t change = noteLeaves();
    startStoring(m_hooks.now());
    const auto wake = [signal](const boost::system::error_code &) { signal->try_send(boost::system::error_code()); };
    asio::steady_timer patience(m_executor, LogPatience);
    patience.async_wait(wake);
    asio::steady_timer timeout(m_executor, StoreTimeout);
    timeout.async_wait(wake);
    while (true) {
        const auto now = std::chrono::steady_clock::now();
        const LeaveCopies copies = m_replication.copies(change);
        const bool isLogLate = copies.isLogFailing || now >= patience.expiry();
        const bool isStored = copies.isLogged || (isLogLate && copies.isKeptByPeer);
        if (isStored || now >= timeout.expiry()) {
            co_return isStored;
        }
        co_await signal->async_receive(asio::use_awaitable);
    }
}

void LeaveExchange::tick(core::TimePoint now)
{
    m_restorer.tick(now);
    startStoring(now);
}

void LeaveExchange::startStoring(core::TimePoint now)
{
    if (m_replication.latestChange() == 0) {
        return;
    }
    // Before the log is read, a record would replace that of an earlier process.
    if (m_restorer.isLogRead() && m_replication.takeAppend(m_hooks.logGeneration(), now)) {
        asio::co_spawn(m_executor, append(), [this](const std::exception_ptr &failure) {
            if (failure) {
                m_replication.appendFailed(m_hooks.now());
            }
            logFailure("leave record")(failure);
        });
    }
    {
        const std::scoped_lock lock(m_mutex);
        if (now < m_nextHolderCheckAt) {
            return;
        }
        m_nextHolderCheckAt = now + HolderCheckInterval;
    }
    const std::vector<admission::NoticeReceiver> due = m_replication.takeDue(m_hooks.holders(), now);
    for (const admission::NoticeReceiver &holder : due) {
        asio::co_spawn(m_executor, deliver(holder), logFailure("leave notice"));
    }
    if (!due.empty()) {
        const std::scoped_lock lock(m_mutex);
        m_nextHolderCheckAt = std::min(m_nextHolderCheckAt, now + DeliveryCheckInterval);
    }
}

asio::awaitable<void> LeaveExchange::append()
{
    const std::uint64_t generation = m_hooks.logGeneration();
    const std::uint64_t change = m_replication.latestChange();
    const LeaveRecord record({.host = m_self, .leaves = m_hooks.leaves()});
    const auto result = co_await m_hooks.log.append(LeaveStream, toJson(record));
    if (result) {
        m_replication.appended(change, generation);
    } else {
        telemetry::log(
            telemetry::Severity::Warning, "endpoint leaves not recorded", {{"error", result.error().detail()}});
        m_replication.appendFailed(m_hooks.now());
    }
    wakeWaiting();
    // The leaves may have changed meanwhile.
    startStoring(m_hooks.now());
}

asio::awaitable<void> LeaveExchange::deliver(admission::NoticeReceiver holder)
{
    const std::uint64_t change = m_replication.latestChange();
    const wire::Message notice{wire::EndpointLeaveNotice({.leaves = m_hooks.leaves().list()})};
    const auto answer = co_await m_hooks.call(holder.host, notice, LeavePeerTimeout);
    if (answer && std::holds_alternative<wire::Ack>(*answer)) {
        m_replication.acknowledged(holder, change);
        wakeWaiting();
    }
}

void LeaveExchange::keep(const core::HostId &from, const wire::EndpointLeaveNotice &notice)
{
    m_kept.update(from, [&](std::optional<EndpointLeaves> &kept) {
        // Merged, since notices may overtake each other.
        kept = kept.value_or(EndpointLeaves()).with(EndpointLeaves(notice->leaves));
    });
}

wire::EndpointLeaveReply LeaveExchange::answer(const core::HostId &from) const
{
    const EndpointLeaves kept = m_kept.find(from).value_or(EndpointLeaves());
    return wire::EndpointLeaveReply({.leaves = kept.list(), .isRestored = m_restorer.isCompleted()});
}

std::shared_ptr<LeaveExchange::Signal> LeaveExchange::subscribe()
{
    auto signal = std::make_shared<Signal>(m_executor, 1);
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_waiting, [](const std::weak_ptr<Signal> &waiting) { return waiting.expired(); });
    m_waiting.push_back(signal);
    return signal;
}

void LeaveExchange::wakeWaiting()
{
    const std::scoped_lock lock(m_mutex);
    for (const std::weak_ptr<Signal> &waiting : m_waiting) {
        if (const std::shared_ptr<Signal> signal = waiting.lock()) {
            signal->try_send(boost::system::error_code());
        }
    }
}

}
