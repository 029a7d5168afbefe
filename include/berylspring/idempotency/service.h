#pragma once

#include "berylspring/core/name.h"
#include "berylspring/idempotency/counters.h"
#include "berylspring/idempotency/hooks.h"
#include "berylspring/idempotency/settings.h"
#include "berylspring/wire/messages.h"

#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::idempotency {

namespace detail {
struct State;
}

/**
 * @brief Runs named requests at most once. This node acts as entry, home and standby.
 *
 * Thread-safe. A request keeps running after its caller disconnects, because it may have been dispatched already.
 */
class IdempotencyService
{
public:
    IdempotencyService(boost::asio::any_io_executor executor, IdempotencySettings settings, IdempotencyHooks hooks);

    /**
     * @brief Sends a named request to its home, with retries until its deadline, and waits for the response.
     * @param call Request with a claimName from claimName() and the remaining time.
     * @param origin Whether other sends of the name may exist.
     * @return The endpoint's response, or a refusal. Outcome NotRun applies to all sends of the name so far.
     */
    [[nodiscard]] boost::asio::awaitable<wire::CallResponse> run(wire::CallRequest call,
                                                                 NameOrigin origin = NameOrigin::Caller);

    /** @brief Handles HomeRequest, ClaimRequest and ClaimHandover; other messages get Refused. */
    [[nodiscard]] boost::asio::awaitable<wire::Message> handle(core::HostId from, wire::Message message);

    /**
     * @brief Planned stop: starts no more requests, waits for the running ones, and sends all records to their next
     * homes and standbys. Call it once liveHosts excludes this host, and leave the membership afterwards.
     * @return Whether the successors hold all records. If not, recentHosts must list this host like a dead one and not
     * treat the stop as planned, or names that ran here could run again.
     */
    [[nodiscard]] boost::asio::awaitable<bool> handOver();

    [[nodiscard]] IdempotencyCounters counters() const;

private:
    std::shared_ptr<detail::State> m_state;
};

}
