#pragma once

#include "berylspring/admission/notice_outbox.h"
#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/core/time.h"
#include "berylspring/eventlog/log_hooks.h"
#include "berylspring/node/endpoint_leaves.h"
#include "berylspring/wire/messages.h"
#include "berylspring/wire/peer_call.h"
#include "node/leave_replication.h"
#include "node/leave_restorer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

namespace berylspring::node::detail {

/** @brief Dependencies of the exchange on the endpoint, the peers and the log. No hook is called under a lock. */
struct LeaveExchangeHooks
{
    eventlog::LogHooks log;
    wire::PeerCall call;
    std::function<EndpointLeaves()> leaves; ///< Of this host.
    /** Called with leaves that earlier processes of this host have acknowledged; possibly several times. */
    std::function<void(const EndpointLeaves &)> restored;
    std::function<void()> heartbeatsAllowed; ///< Called once: heartbeats may be applied from now on.
    std::function<std::vector<admission::NoticeReceiver>()> holders; ///< Peers that keep the leaves of this host.
    std::function<std::vector<admission::NoticeReceiver>()> witnesses; ///< Peers that may keep them.
    std::function<bool()> knowsPeers; ///< Whether the live members of the data centre are known.
    std::function<std::uint64_t()> logGeneration; ///< Rises when the log has lost its latest records.
    std::function<core::TimePoint()> now;
    std::function<bool()> isStopping;
};

/**
 * @brief Stores the leaves that this host has acknowledged outside its process, and keeps those of other hosts.
 *
 * The acknowledgement of a leave binds the host, not the process: a late heartbeat at the next process must not
 * register the endpoint again. Each host has a record in the log; some peers keep its leaves too, for the time in which
 * the log is down. Thread-safe.
 */
class LeaveExchange
{
public:
    LeaveExchange(boost::asio::any_io_executor executor, ProcessStart start, LeaveExchangeHooks hooks);

    /** @brief Starts to learn the leaves of earlier processes. */
    void run();
    /**
     * @brief Stores the present leaves of this host.
     * @return Whether they outlive this process: the log has them, or a peer if the log does not answer.
     */
    [[nodiscard]] boost::asio::awaitable<bool> store();
    /** @brief Repeats what has failed; to be called several times a second. */
    void tick(core::TimePoint now);

    /** @brief Keeps the leaves of another host. */
    void keep(const core::HostId &from, const wire::EndpointLeaveNotice &notice);
    /** @return The leaves kept for the host. */
    [[nodiscard]] wire::EndpointLeaveReply answer(const core::HostId &from) const;

private:
    /** Wakes a coroutine that waits for a leave to be stored; may be signalled from any thread. */
    using Signal = boost::asio::experimental::concurrent_channel<void(boost::system::error_code)>;

    [[nodiscard]] LeaveRestorerHooks restorerHooks();
    /** @brief Counts a change if the leaves differ from the last ones. @return The latest change. */
    std::uint64_t noteLeaves();
    void startStoring(core::TimePoint now);
    [[nodiscard]] boost::asio::awaitable<void> append();
    [[nodiscard]] boost::asio::awaitable<void> deliver(admission::NoticeReceiver holder);
    [[nodiscard]] std::shared_ptr<Signal> subscribe();
    void wakeWaiting();

    boost::asio::any_io_executor m_executor;
    core::HostId m_self;
    LeaveExchangeHooks m_hooks;
    LeaveRestorer m_restorer;
    LeaveReplication m_replication;
    core::ShardedMap<core::HostId, EndpointLeaves> m_kept; ///< Leaves of other hosts.
    std::mutex m_mutex;
    EndpointLeaves m_notedLeaves; ///< As of the latest change.
    core::TimePoint m_nextHolderCheckAt{core::TimePoint::min()};
    std::vector<std::weak_ptr<Signal>> m_waiting;
};

}
