#pragma once

#include "berylspring/wire/error.h"
#include "berylspring/wire/messages.h"

#include <functional>

#include <boost/asio/awaitable.hpp>

namespace berylspring::wire {

/**
 * @brief Sends a request to a member and waits for its answer.
 *
 * Cancelling the awaiting coroutine sends a CallCancel to the peer. Error::maybeSent() tells whether the peer may have
 * received the request. A Refused answer is returned as a value, not as an error.
 */
using PeerCall =
    std::function<boost::asio::awaitable<Result<Message>>(core::HostId to, Message message, core::Duration timeout)>;

/** @brief Handles a request from a member. The coroutine is cancelled when the sender cancels the call. */
using PeerHandler = std::function<boost::asio::awaitable<Message>(core::HostId from, Message message)>;

}
