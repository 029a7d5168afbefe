#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/wire/peer_call.h"

#include <functional>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace berylspring::idempotency {

/** @brief Dependencies of the IdempotencyService. All hooks may be called from several threads. */
struct IdempotencyHooks
{
    wire::PeerCall call;
    /**
     * Live hosts of a data centre. Excludes this host until it has joined the membership and after it has announced its
     * stop, so that it starts no claims.
     */
    std::function<std::vector<core::HostId>(const core::DataCentreId &)> liveHosts;
    /**
     * Live hosts and those that died within the retention (plus the longest run time of a request), except those that
     * stopped by plan. A host that was declared dead within that time and is live again is listed twice, whether it
     * crashed or was only paused; this includes this host. A node that joins learns the dead hosts from its peers.
     */
    std::function<std::vector<core::HostId>(const core::DataCentreId &)> recentHosts;
    /** Sends the request to an endpoint. A refusal with outcome NotRun means that no endpoint received any byte. */
    std::function<boost::asio::awaitable<wire::CallResponse>(wire::CallRequest)> dispatch;
    std::function<core::TimePoint()> now;
    core::RandomSource random;
    /** Waits for a duration. Empty: a steady timer of the executor is used. */
    std::function<boost::asio::awaitable<void>(core::Duration)> sleep = {};
};

}
