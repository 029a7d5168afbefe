#pragma once

#include "berylspring/idempotency/send_time.h"
#include "berylspring/wire/messages.h"
#include "idempotency/state.h"

#include <boost/asio/awaitable.hpp>

namespace berylspring::idempotency::detail {

/**
 * @brief Answers a named request as its home.
 * @return CallResponse, ClaimReply with a challenge, or Refused if this node is not the home and did not run it.
 */
[[nodiscard]] boost::asio::awaitable<wire::Message> serve(StatePtr state, wire::CallRequest call, SendTime send);

}
