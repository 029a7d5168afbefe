#include "idempotency/execution.h"

#include <exception>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::idempotency::detail {

namespace asio = boost::asio;

void Execution::finish(wire::Message result)
{
    std::vector<std::shared_ptr<WakeSignal>> waiting;
    {
        const std::scoped_lock lock(m_mutex);
        m_result = std::move(result);
        waiting.swap(m_waiting);
    }
    for (const auto &wake : waiting) {
        wake->try_send(boost::system::error_code());
    }
}

std::optional<wire::Message> Execution::resultOrSubscribe(const std::shared_ptr<WakeSignal> &wake)
{
    const std::scoped_lock lock(m_mutex);
    if (!m_result) {
        m_waiting.push_back(wake);
    }
    return m_result;
}

/** The signal is emitted on the strand of the sleeping coroutine, because cancellation slots are not thread-safe. */
struct WakeTimer::Timer
{
    explicit Timer(const asio::any_io_executor &executor)
        : strand(asio::make_strand(executor))
    {
    }

    asio::strand<asio::any_io_executor> strand;
    asio::cancellation_signal signal;
};

WakeTimer::WakeTimer(const asio::any_io_executor &executor,
                     const SleepHook &sleep,
                     core::Duration after,
                     std::shared_ptr<WakeSignal> wake)
    : m_timer(std::make_shared<Timer>(executor))
{
    auto onEnd = [timer = m_timer, wake = std::move(wake)](const std::exception_ptr &) {
        wake->try_send(boost::system::error_code());
    };
    asio::co_spawn(m_timer->strand,
                   sleepFor(sleep, after),
                   asio::bind_cancellation_slot(m_timer->signal.slot(), std::move(onEnd)));
}

WakeTimer::~WakeTimer()
{
    asio::post(m_timer->strand, [timer = m_timer] { timer->signal.emit(asio::cancellation_type::terminal); });
}

asio::awaitable<void> sleepFor(SleepHook sleep, core::Duration duration)
{
    if (sleep) {
        co_await sleep(duration);
        co_return;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<std::optional<wire::Message>>
waitFor(asio::any_io_executor executor, SleepHook sleep, std::shared_ptr<Execution> execution, core::Duration atMost)
{
    const auto wake = std::make_shared<WakeSignal>(executor, 1);
    auto result = execution->resultOrSubscribe(wake);
    if (result) {
        co_return result;
    }
    const WakeTimer wakeTimer(executor, sleep, atMost, wake);
    co_await wake->async_receive(asio::use_awaitable);
    result = execution->resultOrSubscribe(wake);
    co_return result;
}

}
