#pragma once

#include "berylspring/eventlog/log_hooks.h"
#include "berylspring/wire/datagrams.h"

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>

namespace berylspring::node::detail {

/** @brief What the announcer needs from the membership. */
struct AnnouncerHooks
{
    eventlog::LogHooks log;
    std::function<wire::MemberUpdate()> self;
    std::function<void(const wire::MemberUpdate &)> addContact;
    std::function<bool()> isStopping;
};

/**
 * @brief First contact through the log: appends the own address to the stream `announce` and reads those of the other
 * members from it, again every 10 minutes.
 */
[[nodiscard]] boost::asio::awaitable<void> announceThroughLog(AnnouncerHooks hooks);

}
