#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/refusal.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/limit/workspace_limit.h"
#include "berylspring/wire/messages.h"
#include "berylspring/wire/peer_call.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

namespace berylspring::limit {

/** @brief Identity and location of the node. */
struct LimitSettings
{
    core::HostId self;
    core::DataCentreId dataCentre;
    std::vector<core::DataCentreId> dataCentres; ///< All declared ones; the same on every node.
    bool isFirstStart = false; ///< The whole fleet starts, and no earlier process has granted tokens.
};

/** @brief Dependencies of the service on other parts of the node. All are called from several threads. */
struct LimitHooks
{
    wire::PeerCall call;
    /** Including self, unless this node does not know the other hosts yet. */
    std::function<std::vector<core::HostId>(const core::DataCentreId &)> liveHosts;
    std::function<std::optional<WorkspaceLimit>(const core::WorkspaceId &)> limitOf; ///< Empty: unlimited.
    /** Workspaces with a limit, whose buckets are started before their first request; may be empty. */
    std::function<std::vector<core::WorkspaceId>()> limitedWorkspaces;
    std::function<core::TimePoint()> now;
    /** Send time of the newest message that a peer in the own data centre has acknowledged. */
    std::function<core::TimePoint()> lastPeerAck;
    std::function<std::uint64_t()> resumeCount; ///< Increases whenever the process resumes after a pause.
    core::RandomSource random;
};

/** @brief Totals since the process started. */
struct LimitCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t held = 0; ///< Requests that waited for tokens, admitted or not.
    std::uint64_t refused = 0;
    std::uint64_t grants = 0; ///< Grant requests sent.
    std::uint64_t loans = 0; ///< Loan requests sent.
    std::uint64_t handovers = 0; ///< Buckets taken over from another host.
    [[nodiscard]] bool operator==(const LimitCounters &) const = default;
};

namespace detail {
class LimitNode;
}

/** @brief Enforces rate and burst of workspaces over all hosts. It must outlive the coroutines that it returns. */
class LimitService
{
public:
    LimitService(boost::asio::any_io_executor executor, LimitSettings settings, LimitHooks hooks);
    ~LimitService();
    LimitService(const LimitService &) = delete;
    LimitService &operator=(const LimitService &) = delete;

    /** @brief Starts renewing the lease of this node. Otherwise buckets are lost after 1.5 s without a request. */
    void start();
    /** @brief Stops renewing the lease. Pending requests complete on their own. */
    void stop();

    /**
     * @brief Takes one token of the workspace.
     * @param workspace The workspace.
     * @param maxHold Longest wait, at most 30 ms.
     * @return Nothing, or a LimitExceeded refusal with outcome NotRun and retryAfter.
     */
    [[nodiscard]] boost::asio::awaitable<tl::expected<void, core::Refusal>> admit(core::WorkspaceId workspace,
                                                                                  core::Duration maxHold);
    /** @return The answer to a GrantRequest, LoanRequest or HandoverRequest; Refused for other messages. */
    [[nodiscard]] boost::asio::awaitable<wire::Message> handle(core::HostId from, wire::Message message);
    /** @brief Graceful shutdown: the next owners fetch all buckets, and this node owns none afterwards. */
    [[nodiscard]] boost::asio::awaitable<void> handOver();
    [[nodiscard]] LimitCounters counters() const;

private:
    std::shared_ptr<detail::LimitNode> m_node;
};

}
