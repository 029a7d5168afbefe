#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/idempotency/claim.h"
#include "berylspring/wire/messages.h"
#include "idempotency/state.h"

#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace berylspring::idempotency::detail {

/** @brief Result of replicating a claim to the standbys. */
struct ReplicationResult
{
    enum class Kind {
        Replicated, ///< The standbys hold the claim, or there are none.
        Conflict, ///< A standby has a record of another attempt.
        RecordsLost, ///< See ClaimStep::Kind::RecordsLost.
        TimedOut, ///< A live standby did not answer.
        NotHome, ///< This node is no longer the home.
    };

    Kind kind = Kind::TimedOut;
    std::vector<core::HostId> holders; ///< Hosts that accepted the claim, or may have.
    std::optional<wire::ClaimRecord> existing;
    std::optional<core::TimePoint> notRunSince; ///< Latest release that a standby reported.
};

/**
 * @brief Writes the claim, in state Dispatched, to the standbys and collects their records of the name.
 *
 * One message announces both the claim and the dispatch, so a request waits for one round trip only. The cost: if the
 * home fails before the dispatch, resends get `unknown` for a request that was not dispatched.
 */
[[nodiscard]] boost::asio::awaitable<ReplicationResult>
replicate(StatePtr state, std::string name, Claim claim, core::TimePoint deadline);

/** @brief Sends a record, or its release, once to each host and waits for all replies or ClaimTimeout. */
[[nodiscard]] boost::asio::awaitable<void>
sendOnce(StatePtr state, std::vector<core::HostId> hosts, wire::ClaimRequest request);

/** @brief Sends a result to the hosts in the background, with a few retries while they are standbys of the name. */
void publish(const StatePtr &state, const std::vector<core::HostId> &hosts, const wire::ClaimRequest &request);

}
