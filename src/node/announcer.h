#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/time.h"
#include "berylspring/eventlog/log_hooks.h"
#include "berylspring/wire/datagrams.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>

namespace berylspring::node::detail {

/** @brief Dependencies of the announcer on the log and the membership. */
struct AnnouncerHooks
{
    eventlog::LogHooks log;
    std::function<wire::MemberUpdate()> self;
    std::function<void(const wire::MemberUpdate &)> addContact;
    std::function<void()> onRead; ///< This host is announced, and all announcements before were added.
    std::function<std::optional<core::TimePoint>()> lastLogContact; ///< When the log last answered this node.
    std::function<core::TimePoint()> now;
    std::function<std::uint64_t()> logGeneration; ///< Rises when the log has lost its latest records.
    std::function<bool()> isStopping;
};

/** @brief An attempt to announce this host and to read the announcements of the others. */
struct AttemptFields
{
    core::TimePoint at;
    std::uint64_t generation = 0; ///< Of the log, before the attempt.
    bool hasSucceeded = false;
    [[nodiscard]] bool operator==(const AttemptFields &) const = default;
};
using Attempt = core::Immutable<AttemptFields>;

/** @brief What this node knows of the log at one moment. */
struct LogViewFields
{
    std::optional<core::TimePoint> lastContact; ///< When the log last answered.
    std::uint64_t generation = 0;
    [[nodiscard]] bool operator==(const LogViewFields &) const = default;
};
using LogView = core::Immutable<LogViewFields>;

/** @return Whether the next attempt is due. After a failed one, it is as soon as the log answers other calls. */
[[nodiscard]] bool isAttemptDue(const Attempt &last, const LogView &log, core::TimePoint now);

/**
 * @brief Peer discovery through the log: appends the address of this node to the stream `announce` and reads the
 * addresses of the other members from it. Repeats every 10 minutes, and when the log was restored from a copy that may
 * lack the address.
 */
[[nodiscard]] boost::asio::awaitable<void> announceThroughLog(AnnouncerHooks hooks);

}
