#pragma once

#include "idempotency/state.h"

#include <boost/asio/awaitable.hpp>

namespace berylspring::idempotency::detail {

/** @brief Implements IdempotencyService::handOver(). */
[[nodiscard]] boost::asio::awaitable<bool> handOverAll(StatePtr state);

}
