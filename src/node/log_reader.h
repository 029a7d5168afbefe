#pragma once

#include "berylspring/core/types.h"
#include "berylspring/eventlog/log_hooks.h"

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace berylspring::node::detail {

/** @brief How far a stream has been read. */
struct StreamPosition
{
    std::uint64_t generation = 0; ///< Generation of the log that the offset belongs to.
    core::Offset from = 0;
    [[nodiscard]] bool operator==(const StreamPosition &) const = default;
};

/**
 * @brief Reads a stream from a position to its end, and from its start if the log has another generation.
 * @param position Is advanced with each page.
 * @return Whether the end was reached; false if the log cannot be read.
 */
[[nodiscard]] boost::asio::awaitable<bool> readToEnd(eventlog::LogHooks log,
                                                     std::string stream,
                                                     StreamPosition &position,
                                                     std::function<void(const eventlog::LogEntry &)> onRecord);

}
