#pragma once

#include "berylspring/limit/limit_service.h"

#include <atomic>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::limit::detail {

/** @brief Live counters behind LimitCounters. */
struct Totals
{
    std::atomic<std::uint64_t> admitted{0};
    std::atomic<std::uint64_t> held{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> grants{0};
    std::atomic<std::uint64_t> loans{0};
    std::atomic<std::uint64_t> handovers{0};
};

/** @brief State shared by the components of the service; their coroutines keep it alive. */
struct LimitContext
{
    boost::asio::any_io_executor executor;
    LimitSettings settings;
    LimitHooks hooks;
    Totals totals;
    /** Suspends the caller; tests replace it by a simulated clock. */
    std::function<boost::asio::awaitable<void>(core::Duration)> sleep;

    LimitContext(boost::asio::any_io_executor runOn, LimitSettings where, LimitHooks with)
        : executor(std::move(runOn))
        , settings(std::move(where))
        , hooks(std::move(with))
        , sleep([](core::Duration duration) { return sleepByTimer(duration); })
    {
    }

private:
    static boost::asio::awaitable<void> sleepByTimer(core::Duration duration)
    {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
};

}
