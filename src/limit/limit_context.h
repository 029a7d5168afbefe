#pragma once

#include "berylspring/limit/limit_service.h"

#include <atomic>

namespace berylspring::limit::detail {

/** @brief Counters of the service while they are counted. */
struct Totals
{
    std::atomic<std::uint64_t> admitted{0};
    std::atomic<std::uint64_t> held{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> grants{0};
    std::atomic<std::uint64_t> loans{0};
    std::atomic<std::uint64_t> handovers{0};
};

/** @brief What the parts of the service share; their coroutines keep it alive. */
struct LimitContext
{
    boost::asio::any_io_executor executor;
    LimitSettings settings;
    LimitHooks hooks;
    Totals totals;

    LimitContext(boost::asio::any_io_executor runOn, LimitSettings where, LimitHooks with)
        : executor(std::move(runOn))
        , settings(std::move(where))
        , hooks(std::move(with))
    {
    }
};

}
