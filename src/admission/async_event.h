#pragma once

#include "berylspring/core/time.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace berylspring::admission::detail {

/**
 * @brief One-shot event on which a single coroutine waits, with timeout and cancellation. Thread-safe.
 *
 * The event stays set: a wait that begins afterwards completes at once.
 */
class AsyncEvent : public std::enable_shared_from_this<AsyncEvent>
{
public:
    explicit AsyncEvent(const boost::asio::any_io_executor &executor);

    /** @brief Sets the event, which ends the wait. */
    void set();
    /**
     * @brief Waits until the event is set, the timeout has passed or the coroutine is cancelled.
     *
     * Completes normally in each case; the caller has to find out which one it was.
     * @param timeout Without a value there is no limit on the wait.
     */
    [[nodiscard]] boost::asio::awaitable<void> wait(std::optional<core::Duration> timeout);
    /** @brief Destroys the waiting coroutine. Only for the shutdown of the service. */
    void abandon();

private:
    /** Not asio::any_completion_handler, which in Boost 1.81 recurses without end when it is posted. */
    using Handler = std::function<void()>;

    void begin(Handler handler, boost::asio::any_io_executor executor, std::optional<core::Duration> timeout);

    std::mutex m_mutex;
    boost::asio::steady_timer m_timer;
    Handler m_handler;
    boost::asio::any_io_executor m_handlerExecutor;
    bool m_isSet = false;
};

}
