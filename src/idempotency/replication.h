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

/** @brief Result of writing a claim to the standbys. */
struct Replicated
{
    enum class Kind {
        Held, ///< The standbys hold the claim, or there is none.
        Existing, ///< A standby has a record of another attempt.
        PastUnknown,
        OutOfTime, ///< A live standby did not answer.
        NotHome, ///< This node is no longer the home.
    };

    Kind kind = Kind::OutOfTime;
    std::vector<core::HostId> holders; ///< Hosts that accepted the claim, or may have.
    std::optional<wire::ClaimRecord> existing;
    std::optional<core::TimePoint> notRunSince; ///< Latest release that a standby remembers.
};

/**
 * @brief Writes the claim, in state Dispatched, to the standbys and learns their records of the name.
 *
 * One message carries claim and dispatch, so a request waits for one round trip. The cost is that a home lost between
 * the two leaves an `unknown` for a request that was not dispatched.
 */
[[nodiscard]] boost::asio::awaitable<Replicated>
replicate(StatePtr state, std::string name, Claim claim, core::TimePoint deadline);

/** @brief Sends a record, or its release, to the hosts and waits for each of them or for the time limit. */
[[nodiscard]] boost::asio::awaitable<void>
sendOnce(StatePtr state, std::vector<core::HostId> hosts, wire::ClaimRequest request);

/** @brief Sends a result to the hosts in the background, again while they are live, for a few seconds. */
void publish(const StatePtr &state, const std::vector<core::HostId> &hosts, const wire::ClaimRequest &request);

}
