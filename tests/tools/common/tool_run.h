#pragma once

#include <cstddef>
#include <functional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::tools {

/** @brief What a tool does between start and SIGTERM or SIGINT. */
struct ToolHooks
{
    std::function<bool(boost::asio::any_io_executor)> start; ///< Prints its ports; false ends the program with 1.
    std::function<boost::asio::awaitable<void>()> stop; ///< Completes when the program may end.
};

/** @brief Runs a tool on some threads until it has stopped after a signal. @return The exit status. */
int runTool(std::size_t threads, const ToolHooks &hooks);

/** @brief Lets the process open as many sockets as the hard limit allows. */
void raiseFileLimit();

}
