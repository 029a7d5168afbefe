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
 * @brief Runs named requests at most once: entry, home and standby of this node.
 *
 * Safe to use from several threads. Running requests outlive the waiting coroutines: a caller that goes away does not
 * end a request that may have been dispatched.
 */
class IdempotencyService
{
public:
    IdempotencyService(boost::asio::any_io_executor executor, IdempotencySettings settings, IdempotencyHooks hooks);

    /**
     * @brief Sends a named request to its home, again while time remains, and waits for the response.
     * @param call With claimName made by claimName(), and remaining time.
     * @param origin Whether other sends of the name may exist.
     * @return The endpoint's response, or a refusal whose outcome NotRun holds for all sends of the name.
     */
    [[nodiscard]] boost::asio::awaitable<wire::CallResponse> run(wire::CallRequest call,
                                                                 NameOrigin origin = NameOrigin::Caller);

    /** @brief Answers HomeRequest, ClaimRequest and ClaimHandover; anything else is Refused. */
    [[nodiscard]] boost::asio::awaitable<wire::Message> handle(core::HostId from, wire::Message message);

    /**
     * @brief Planned stop: starts no more requests, waits for the running ones, and sends all records to their next
     * homes. Call it after liveHosts leaves this host out, and leave the membership after it.
     * @return Whether the next homes hold all records. If not, this host must not count as left by plan: recentHosts
     * has to list it like a dead one, or names that ran here would run again.
     */
    [[nodiscard]] boost::asio::awaitable<bool> handOver();

    [[nodiscard]] IdempotencyCounters counters() const;

private:
    std::shared_ptr<detail::State> m_state;
};

}
