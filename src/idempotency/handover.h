#pragma once

#include "idempotency/state.h"

#include <boost/asio/awaitable.hpp>

namespace berylspring::idempotency::detail {

/** @brief Ends this node's part as home and standby: see IdempotencyService::handOver(). */
[[nodiscard]] boost::asio::awaitable<bool> handOverAll(StatePtr state);

}
