#pragma once

#include "berylspring/core/time.h"
#include "berylspring/wire/messages.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

namespace berylspring::idempotency::detail {

using SleepHook = std::function<boost::asio::awaitable<void>(core::Duration)>;

/** @brief Wakes one waiting coroutine; can be signalled from any thread and more than once. */
using WakeSignal = boost::asio::experimental::concurrent_channel<void(boost::system::error_code)>;

/** @brief A request that runs at this home, and the sends that wait for its result. */
class Execution
{
public:
    /** @brief Stores the result and wakes all waiting sends. */
    void finish(wire::Message result);

    /**
     * @brief Registers `wake` if there is no result yet.
     * @param wake Signalled by finish(); kept until then.
     * @return The result, if there is one already.
     */
    [[nodiscard]] std::optional<wire::Message> resultOrSubscribe(const std::shared_ptr<WakeSignal> &wake);

private:
    std::mutex m_mutex;
    std::optional<wire::Message> m_result;
    std::vector<std::shared_ptr<WakeSignal>> m_waiting;
};

/** @brief Signals a WakeSignal after a delay, unless it is destroyed before. */
class WakeTimer
{
public:
    WakeTimer(const boost::asio::any_io_executor &executor,
              const SleepHook &sleep,
              core::Duration after,
              std::shared_ptr<WakeSignal> wake);
    ~WakeTimer();
    WakeTimer(const WakeTimer &) = delete;
    WakeTimer &operator=(const WakeTimer &) = delete;

private:
    struct Timer;
    std::shared_ptr<Timer> m_timer;
};

/** @brief Waits with the hook, or with a timer if it is empty. The hook is copied so that it outlives the wait. */
[[nodiscard]] boost::asio::awaitable<void> sleepFor(SleepHook sleep, core::Duration duration);

/** @return The result, or nothing if it takes longer than `atMost`. */
[[nodiscard]] boost::asio::awaitable<std::optional<wire::Message>> waitFor(boost::asio::any_io_executor executor,
                                                                           SleepHook sleep,
                                                                           std::shared_ptr<Execution> execution,
                                                                           core::Duration atMost);

}
