#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/wire/peer_call.h"

#include <functional>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace berylspring::idempotency {

/** @brief What the IdempotencyService needs from outside. All hooks may be called from several threads. */
struct IdempotencyHooks
{
    wire::PeerCall call;
    /**
     * Live hosts of a data centre. Without this host until it has joined the membership, and after it has announced its
     * stop: it then starts no claims.
     */
    std::function<std::vector<core::HostId>(const core::DataCentreId &)> liveHosts;
    /**
     * Live hosts and those that died within the retention (plus the longest time of a request), without those that left
     * by plan. A host that was taken for dead within that time and is live again is listed once more, whether it
     * crashed or was only paused; this includes this host. A node that joins learns the dead hosts from its peers.
     */
    std::function<std::vector<core::HostId>(const core::DataCentreId &)> recentHosts;
    /** Routes to an endpoint's node. A refusal with outcome NotRun means that no endpoint received any byte. */
    std::function<boost::asio::awaitable<wire::CallResponse>(wire::CallRequest)> dispatch;
    std::function<core::TimePoint()> now;
    core::RandomSource random;
    /** Waits for a time; steady timers of the executor if empty. */
    std::function<boost::asio::awaitable<void>(core::Duration)> sleep = {};
};

}
