#pragma once

#include "berylspring/idempotency/settings.h"
#include "berylspring/wire/messages.h"
#include "idempotency/state.h"

#include <boost/asio/awaitable.hpp>

namespace berylspring::idempotency::detail {

/** @brief Sends a named request to its home, with retries until there is a response or the deadline has passed. */
[[nodiscard]] boost::asio::awaitable<wire::CallResponse>
sendToHome(StatePtr state, wire::CallRequest call, NameOrigin origin);

}
