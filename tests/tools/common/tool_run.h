#pragma once

#include <cstddef>
#include <functional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::tools {

/** @brief Actions of a tool at its start and on SIGTERM or SIGINT. */
struct ToolHooks
{
    /** Starts servers and prints their ports. If it returns false, the tool ends with status 1. */
    std::function<bool(boost::asio::any_io_executor)> start;
    std::function<boost::asio::awaitable<void>()> stop; ///< Completes when the process may exit.
};

/**
 * @brief Runs a tool on a number of threads and exits the process with status 0 after a signal.
 * @return The exit status if the tool could not start.
 */
int runTool(std::size_t threads, const ToolHooks &hooks);

/** @brief Raises the soft limit of open files (and so of sockets) to the hard limit. */
void raiseOpenFileLimit();

}
