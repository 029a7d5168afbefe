#pragma once

#include "berylspring/platform/log_hooks.h"
#include "berylspring/wire/datagrams.h"

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>

namespace berylspring::node::detail {

/** @brief What the announcer needs from the membership. */
struct AnnouncerHooks
{
    platform::LogHooks log;
    std::function<wire::MemberUpdate()> self;
    std::function<void(const wire::MemberUpdate &)> addContact;
    std::function<bool()> isStopping;
};

/**
 * @brief First contact through the log: reads the addresses of members from the stream `announce` and appends the own
 * one, again every 10 minutes.
 */
[[nodiscard]] boost::asio::awaitable<void> announceThroughLog(AnnouncerHooks hooks);

}
