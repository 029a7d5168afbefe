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
 * @brief Lets one coroutine wait until another thread raises it, a time has passed or it is cancelled.
 *
 * Raising is remembered: a wait that begins after it completes at once. All members may be called from any thread.
 */
class WakeUp : public std::enable_shared_from_this<WakeUp>
{
public:
    explicit WakeUp(const boost::asio::any_io_executor &executor);

    /** @brief Ends the wait. */
    void raise();
    /**
     * @brief Waits; the caller finds out itself what it was woken for.
     * @param timeout Longest wait; none waits until raised or cancelled.
     */
    [[nodiscard]] boost::asio::awaitable<void> wait(std::optional<core::Duration> timeout);
    /** @brief Destroys the waiting coroutine. Only for the end of the service. */
    void abandon();

private:
    /** Copyable: any_completion_handler of Boost 1.81 recurses without end when it is posted. */
    using Handler = std::function<void()>;

    void begin(Handler handler, boost::asio::any_io_executor executor, std::optional<core::Duration> timeout);

    std::mutex m_mutex;
    boost::asio::steady_timer m_timer;
    Handler m_handler;
    boost::asio::any_io_executor m_handlerExecutor;
    bool m_isRaised = false;
};

}
