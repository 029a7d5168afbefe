#pragma once

#include "berylspring/admission/notice_outbox.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/eventlog/log_hooks.h"
#include "berylspring/node/endpoint_leaves.h"
#include "berylspring/wire/peer_call.h"
#include "node/leave_restore_progress.h"
#include "node/process_start.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::node::detail {

/** Stream of the log that holds one record for each host with its latest leaves. */
inline const std::string LeaveStream = "endpoint-leaves";
/** A live peer answers within milliseconds, and an endpoint waits for the answers. */
inline constexpr core::Duration LeavePeerTimeout = std::chrono::milliseconds(300);

/** @brief Dependencies of the restorer. No hook is called under a lock. */
struct LeaveRestorerHooks
{
    eventlog::LogHooks log;
    wire::PeerCall call;
    std::function<std::vector<admission::NoticeReceiver>()> witnesses; ///< Peers that may keep leaves of this host.
    std::function<bool()> knowsPeers; ///< Whether the live members of the data centre are known.
    std::function<void(const EndpointLeaves &)> found; ///< Called with leaves of earlier processes of this host.
    /** Called once, after found(), with the leaves in the log and its generation. */
    std::function<void(const EndpointLeaves &, std::uint64_t)> logRead;
    std::function<void()> completed; ///< Called once: heartbeats may be applied from now on.
    std::function<core::TimePoint()> now;
    std::function<bool()> isStopping;
};

/** @brief Learns the leaves that earlier processes of this host have acknowledged, from the log and peers. Thread-safe.
 */
class LeaveRestorer
{
public:
    LeaveRestorer(boost::asio::any_io_executor executor, ProcessStart start, LeaveRestorerHooks hooks);

    /** @brief Starts to read the log and to ask peers. */
    void run();
    /** @brief Ends the wait for answers that do not come; to be called several times a second. */
    void tick(core::TimePoint now);
    [[nodiscard]] bool isLogRead() const;
    /** @return Whether heartbeats may be applied. */
    [[nodiscard]] bool isCompleted() const;

private:
    [[nodiscard]] boost::asio::awaitable<void> readLog();
    [[nodiscard]] boost::asio::awaitable<void> askPeers();
    /** @return Whether each of the hosts has answered. */
    [[nodiscard]] boost::asio::awaitable<bool> askOnce(std::vector<admission::NoticeReceiver> hosts);
    [[nodiscard]] boost::asio::awaitable<bool> askHost(core::HostId host);
    void recordProgress(bool LeaveRestoreProgressFields::*step);

    boost::asio::any_io_executor m_executor;
    ProcessStart m_start;
    LeaveRestorerHooks m_hooks;
    mutable std::mutex m_mutex;
    LeaveRestoreProgress m_progress;
    bool m_isCompleted;
};

}
