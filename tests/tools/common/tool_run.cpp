#include "tools/common/tool_run.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <sys/resource.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <thread>
#include <vector>

namespace berylspring::tools {

namespace asio = boost::asio;

namespace {

asio::awaitable<void> stopTool(asio::io_context &context, const ToolHooks &hooks)
{
    co_await hooks.stop();
    context.stop();
}

}

int runTool(std::size_t threads, const ToolHooks &hooks)
{
    raiseOpenFileLimit();
    asio::io_context context(static_cast<int>(threads));
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error) {
            asio::co_spawn(context, stopTool(context, hooks), asio::detached);
        }
    });
    if (!hooks.start(context.get_executor())) {
        return 1;
    }
    std::vector<std::thread> workers;
    for (std::size_t i = 1; i < threads; ++i) {
        workers.emplace_back([&] { context.run(); });
    }
    context.run();
    for (std::thread &thread : workers) {
        thread.join();
    }
    std::cout.flush();
    // Suspended coroutines refer to objects of the tool and of the context, so neither can be destroyed before the
    // other.
    std::quick_exit(0);
}

void raiseOpenFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

}
