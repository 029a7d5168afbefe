#pragma once

#include "berylspring/core/time.h"
#include "berylspring/eventlog/log_hooks.h"

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace berylspring::eventlog {

/** @brief Time limits of one call to the log. */
struct LogTimeouts
{
    core::Duration connect = std::chrono::seconds(1);
    /** From the sending of the request to the whole answer; a read adds the time that it may wait for records. */
    core::Duration request = std::chrono::seconds(3);
    [[nodiscard]] bool operator==(const LogTimeouts &) const = default;
};

/**
 * @brief Access to the log service over HTTP/1.1 with keep-alive connections.
 * @param executor Runs the connections; may belong to several threads.
 * @param address IP number of the log service; a text that is none makes each call fail as Unreachable.
 * @param port TCP port of the log service.
 * @param timeouts Time limits of one call.
 * @return Hooks that keep their connections alive as long as a copy of them exists.
 */
[[nodiscard]] LogHooks
makeHttpLog(boost::asio::any_io_executor executor, std::string address, std::uint16_t port, LogTimeouts timeouts = {});

}
