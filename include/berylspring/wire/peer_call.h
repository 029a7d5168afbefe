#pragma once

#include "berylspring/wire/error.h"
#include "berylspring/wire/messages.h"

#include <functional>

#include <boost/asio/awaitable.hpp>

namespace berylspring::wire {

/**
 * @brief Sends a message to a member and waits for its answer.
 *
 * Cancelling the waiting coroutine sends a CallCancel. An error tells by maybeSent() whether the peer may have
 * received the message. A Refused answer is returned as a value.
 */
using PeerCall =
    std::function<boost::asio::awaitable<Result<Message>>(core::HostId to, Message message, core::Duration timeout)>;

/** @brief Answers a message from a member. Its coroutine is cancelled when the sender cancels the call. */
using PeerHandler = std::function<boost::asio::awaitable<Message>(core::HostId from, Message message)>;

}
