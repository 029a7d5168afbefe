#pragma once

#include "berylspring/eventlog/log_hooks.h"
#include "berylspring/wire/datagrams.h"

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>

namespace berylspring::node::detail {

/** @brief Dependencies of the announcer on the log and the membership. */
struct AnnouncerHooks
{
    eventlog::LogHooks log;
    std::function<wire::MemberUpdate()> self;
    std::function<void(const wire::MemberUpdate &)> addContact;
    std::function<void()> onRead; ///< This host is announced, and all announcements before were added.
    std::function<std::uint64_t()> logGeneration; ///< Rises when the log has lost its latest records.
    std::function<bool()> isStopping;
};

/**
 * @brief Peer discovery through the log: appends the address of this node to the stream `announce` and reads the
 * addresses of the other members from it. Repeats every 10 minutes, and when the log was restored from a copy that may
 * lack the address.
 */
[[nodiscard]] boost::asio::awaitable<void> announceThroughLog(AnnouncerHooks hooks);

}
