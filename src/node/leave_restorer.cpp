#include "node/leave_restorer.h"

#include "berylspring/telemetry/log.h"
#include "node/background.h"
#include "node/leave_record.h"
#include "node/log_reader.h"
#include "node/milliseconds.h"

#include <exception>
#include <memory>
#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

// g++ 12 reports the allocation of Asio's coroutine frames, whose operator new and delete do match.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace berylspring::node::detail {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/** Unanswered peers are asked again once: the connection may have been to their earlier process. */
constexpr int MaxAskRounds = 2;
/** Interval at which a starting process checks what it knows of the members. */
constexpr core::Duration MemberCheckInterval = 25ms;
/** Bounds the calls to a log that fails. */
constexpr core::Duration LogRetryInterval = 2s;

asio::awaitable<void> sleep(core::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

}

LeaveRestorer::LeaveRestorer(asio::any_io_executor executor, ProcessStart start, LeaveRestorerHooks hooks)
    : m_executor(std::move(executor))
    , m_start(std::move(start))
    , m_hooks(std::move(hooks))
    , m_progress({.startedAt = m_hooks.now(), .isLogRead = m_start.isFirstStart})
    , m_isCompleted(m_start.isFirstStart)
{
}

void LeaveRestorer::run()
{
    if (m_start.isFirstStart) {
        return;
    }
    asio::co_spawn(m_executor, readLog(), logFailure("leaves in the log"));
    asio::co_spawn(m_executor, askPeers(), logFailure("leaves kept by peers"));
}

asio::awaitable<void> LeaveRestorer::readLog()
{
    while (!m_hooks.isStopping()) {
        EndpointLeaves leaves;
        StreamPosition position;
        const auto collect = [&](const eventlog::LogEntry &entry) {
            const auto record = parseLeaveRecord(entry.data);
            if (record && (*record)->host == m_start.host) {
                leaves = (*record)->leaves;
            } else if (!record && !entry.data.empty()) {
                telemetry::log(telemetry::Severity::Warning,
                               "invalid leave record ignored",
                               {{"offset", static_cast<std::int64_t>(entry.offset)}, {"error", record.error()}});
            }
        };
        if (co_await readToEnd(m_hooks.log, LeaveStream, position, collect)) {
            m_hooks.found(leaves);
            recordProgress(&LeaveRestoreProgressFields::isLogRead);
            m_hooks.logRead(leaves, position.generation);
            co_return;
        }
        telemetry::log(telemetry::Severity::Warning, "endpoint leaves not read");
        recordProgress(&LeaveRestoreProgressFields::hasLogFailed);
        co_await sleep(LogRetryInterval);
    }
}

asio::awaitable<void> LeaveRestorer::askPeers()
{
    while (!m_hooks.knowsPeers() && !m_hooks.isStopping()) {
        co_await sleep(MemberCheckInterval);
    }
    for (int round = 0; round < MaxAskRounds; ++round) {
        if (co_await askOnce(m_hooks.witnesses())) {
            break;
        }
    }
    recordProgress(&LeaveRestoreProgressFields::arePeersAsked);
}

asio::awaitable<bool> LeaveRestorer::askOnce(std::vector<admission::NoticeReceiver> hosts)
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

asio::awaitable<bool> LeaveRestorer::askHost(core::HostId host)
{
    const wire::Message query{wire::EndpointLeaveQuery()};
    const auto answer = co_await m_hooks.call(std::move(host), query, LeavePeerTimeout);
    if (!answer) {
        co_return false;
    }
    if (const auto *reply = std::get_if<wire::EndpointLeaveReply>(&*answer)) {
        m_hooks.found(EndpointLeaves((*reply)->leaves));
        if ((*reply)->isRestored) {
            recordProgress(&LeaveRestoreProgressFields::hasPeerAnswered);
        }
    }
    co_return true;
}

void LeaveRestorer::recordProgress(bool LeaveRestoreProgressFields::*step)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_progress = m_progress.with(step, true);
    }
    tick(m_hooks.now());
}

void LeaveRestorer::tick(core::TimePoint now)
{
    LeaveRestoreProgress progress;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_isCompleted || !isRestored(m_progress, now)) {
            return;
        }
        m_isCompleted = true;
        progress = m_progress;
    }
    telemetry::log(telemetry::Severity::Info,
                   "heartbeats accepted",
                   {{"after_ms", milliseconds(now - progress->startedAt)},
                    {"is_log_read", progress->isLogRead},
                    {"has_peer_answered", progress->hasPeerAnswered}});
    m_hooks.completed();
}

bool LeaveRestorer::isLogRead() const
{
    const std::scoped_lock lock(m_mutex);
    return m_progress->isLogRead;
}

bool LeaveRestorer::isCompleted() const
{
    const std::scoped_lock lock(m_mutex);
    return m_isCompleted;
}

}
