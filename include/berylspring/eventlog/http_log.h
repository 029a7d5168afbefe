#pragma once

#include "berylspring/core/time.h"
#include "berylspring/eventlog/log_hooks.h"

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace berylspring::eventlog {

/** @brief Timeouts of one call to the log. */
struct LogTimeouts
{
    core::Duration connect = std::chrono::seconds(1);
    /** From sending the request to the complete response; a read adds the time that it may wait for records. */
    core::Duration request = std::chrono::seconds(3);
    [[nodiscard]] bool operator==(const LogTimeouts &) const = default;
};

/**
 * @brief Access to the log service over HTTP/1.1 with keep-alive connections.
 * @param executor Runs the connections; may be run by several threads.
 * @param address IP number of the log service; with any other text, each call fails as Unreachable.
 * @param port TCP port of the log service.
 * @param timeouts Timeouts of one call.
 * @return Hooks that share the connections; these live as long as any copy of the hooks.
 */
[[nodiscard]] LogHooks
makeHttpLog(boost::asio::any_io_executor executor, std::string address, std::uint16_t port, LogTimeouts timeouts = {});

}
