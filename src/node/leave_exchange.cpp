#include "node/leave_exchange.h"

#include "berylspring/telemetry/log.h"
#include "node/background.h"
#include "node/leave_record.h"
#include "node/log_reader.h"
#include "node/milliseconds.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

// g++ 12 reports the allocation of Asio's coroutine frames, whose operator new and delete do match.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace berylspring::node::detail {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

const std::string Stream = "endpoint-leaves";
/** How long a leave waits for the log before the copy of a peer suffices. */
constexpr core::Duration LogPatience = 300ms;
/** An endpoint waits up to 1 s for an acknowledgement. */
constexpr core::Duration StoreTimeout = 700ms;
/** A live peer answers within milliseconds, and an endpoint waits for the answers. */
constexpr core::Duration PeerTimeout = 300ms;
/** Unanswered peers are asked again once: the connection may have been to their earlier process. */
constexpr int MaxAskRounds = 2;
/** Interval at which a starting process checks what it knows of the members and the log. */
constexpr core::Duration RestoreCheckInterval = 25ms;
/** Bounds the calls to a log that fails. */
constexpr core::Duration LogRetryInterval = 1s;
/** Bounds the cost of ordering all members, for copies that members which have left no longer keep. */
constexpr core::Duration HolderCheckInterval = 5s;
/** The same after leaves were sent, in case they were not acknowledged. */
constexpr core::Duration DeliveryCheckInterval = 1s;

asio::awaitable<void> sleep(core::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

}

LeaveExchange::LeaveExchange(asio::any_io_executor executor, LeaveExchangeSettings settings, LeaveExchangeHooks hooks)
    : m_executor(std::move(executor))
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_isRestored(m_settings.isFirstStart)
{
}

void LeaveExchange::start()
{
    updateRestore([&](const LeaveRestore &restore) {
        return restore.with(&LeaveRestoreFields::startedAt, m_hooks.now())
            .with(&LeaveRestoreFields::isLogRead, m_settings.isFirstStart);
    });
    if (m_settings.isFirstStart) {
        return;
    }
    asio::co_spawn(m_executor, readLog(), logFailure("leaves in the log"));
    asio::co_spawn(m_executor, askPeers(), logFailure("leaves kept by peers"));
}

asio::awaitable<void> LeaveExchange::readLog()
{
    StreamPosition position;
    while (!m_hooks.isStopping()) {
        EndpointLeaves found;
        const bool hasRead = co_await readToEnd(m_hooks.log, Stream, position, [&](const eventlog::LogEntry &entry) {
            const auto record = parseLeaveRecord(entry.data);
            if (record && (*record)->host == m_settings.self) {
                found = (*record)->leaves;
            } else if (!record && !entry.data.empty()) {
                telemetry::log(telemetry::Severity::Warning,
                               "invalid leave record ignored",
                               {{"offset", static_cast<std::int64_t>(entry.offset)}, {"error", record.error()}});
            }
        });
        if (hasRead) {
            restore(found);
            if (m_hooks.leaves() == found) {
                m_replication.foundInLog(m_replication.latestChange(), position.generation);
            }
            updateRestore(
                [](const LeaveRestore &restore) { return restore.with(&LeaveRestoreFields::isLogRead, true); });
            startStoring(m_hooks.now());
            co_return;
        }
        telemetry::log(telemetry::Severity::Warning, "endpoint leaves not read");
        updateRestore(
            [](const LeaveRestore &restore) { return restore.with(&LeaveRestoreFields::hasLogFailed, true); });
        position = {};
        co_await sleep(LogRetryInterval);
    }
}

asio::awaitable<void> LeaveExchange::askPeers()
{
    while (!m_hooks.knowsPeers() && !m_hooks.isStopping()) {
        co_await sleep(RestoreCheckInterval);
    }
    for (int round = 0; round < MaxAskRounds; ++round) {
        if (co_await askOnce(m_hooks.witnesses())) {
            break;
        }
    }
    updateRestore([](const LeaveRestore &restore) { return restore.with(&LeaveRestoreFields::arePeersAsked, true); });
}

asio::awaitable<bool> LeaveExchange::askOnce(std::vector<admission::NoticeReceiver> hosts)
{
    using Answers = asio::experimental::concurrent_channel<void(boost::system::error_code, bool)>;
    const auto answers = std::make_shared<Answers>(m_executor, hosts.size());
    for (const admission::NoticeReceiver &receiver : hosts) {
        asio::co_spawn(
            m_executor, askHost(receiver.host), [answers](const std::exception_ptr &failure, bool hasAnswered) {
                answers->try_send(boost::system::error_code(), !failure && hasAnswered);
            });
    }
    bool haveAllAnswered = true;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const bool hasAnswered = co_await answers->async_receive(asio::use_awaitable);
        haveAllAnswered = haveAllAnswered && hasAnswered;
    }
    co_return haveAllAnswered;
}

asio::awaitable<bool> LeaveExchange::askHost(core::HostId host)
{
    const wire::Message query{wire::EndpointLeaveQuery()};
    const auto answer = co_await m_hooks.call(std::move(host), query, PeerTimeout);
    if (!answer) {
        co_return false;
    }
    if (const auto *reply = std::get_if<wire::EndpointLeaveReply>(&*answer)) {
        restore(EndpointLeaves((*reply)->leaves));
        if ((*reply)->isRestored) {
            updateRestore(
                [](const LeaveRestore &restore) { return restore.with(&LeaveRestoreFields::hasPeerAnswered, true); });
        }
    }
    co_return true;
}

void LeaveExchange::restore(const EndpointLeaves &earlier)
{
    if (earlier.isEmpty()) {
        return;
    }
    m_hooks.restored(earlier);
    noteLeaves();
}

void LeaveExchange::updateRestore(const std::function<LeaveRestore(const LeaveRestore &)> &change)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_restore = change(m_restore);
    }
    completeRestore(m_hooks.now());
}

LeaveRestore LeaveExchange::restoreProgress() const
{
    const std::scoped_lock lock(m_mutex);
    return m_restore;
}

void LeaveExchange::completeRestore(core::TimePoint now)
{
    LeaveRestore restore;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_isRestored || !isRestored(m_restore, now)) {
            return;
        }
        m_isRestored = true;
        restore = m_restore;
    }
    telemetry::log(telemetry::Severity::Info,
                   "heartbeats accepted",
                   {{"after_ms", milliseconds(now - restore->startedAt)},
                    {"is_log_read", restore->isLogRead},
                    {"has_peer_answered", restore->hasPeerAnswered},
                    {"leaves", static_cast<std::int64_t>(m_hooks.leaves().list().size())}});
    m_hooks.heartbeatsAllowed();
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
    completeRestore(now);
    startStoring(now);
}

void LeaveExchange::startStoring(core::TimePoint now)
{
    if (m_replication.latestChange() == 0) {
        return;
    }
    // Before the log is read, a record would replace that of an earlier process.
    if (restoreProgress()->isLogRead && m_replication.takeAppend(m_hooks.logGeneration(), now)) {
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
    const LeaveRecord record({.host = m_settings.self, .leaves = m_hooks.leaves()});
    const auto result = co_await m_hooks.log.append(Stream, toJson(record));
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
    const auto answer = co_await m_hooks.call(holder.host, notice, PeerTimeout);
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
    const std::scoped_lock lock(m_mutex);
    return wire::EndpointLeaveReply({.leaves = kept.list(), .isRestored = m_isRestored});
}

std::shared_ptr<LeaveExchange::Signal> LeaveExchange::subscribe()
{
    const auto signal = std::make_shared<Signal>(m_executor, 1);
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
