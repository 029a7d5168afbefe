#pragma once

#include <exception>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::async {

namespace detail {

/** @brief Exception or value with which the work completed. */
template<typename Value>
struct Completion
{
    std::exception_ptr exception;
    Value value{};
};

/** @brief Cancels the work if the waiting coroutine is destroyed before the work has completed. */
class CancelGuard
{
public:
    CancelGuard(boost::asio::any_io_executor executor, std::function<void()> cancel)
        : m_executor(std::move(executor))
        , m_cancel(std::move(cancel))
    {
    }
    ~CancelGuard()
    {
        if (m_cancel) {
            boost::asio::post(m_executor, std::move(m_cancel));
        }
    }
    CancelGuard(const CancelGuard &) = delete;
    CancelGuard &operator=(const CancelGuard &) = delete;

    void release() noexcept
    {
        m_cancel = nullptr;
    }

private:
    boost::asio::any_io_executor m_executor;
    std::function<void()> m_cancel;
};

}

/**
 * @brief Runs a coroutine on another executor and waits for its value.
 *
 * In Boost.Asio 1.81, co_spawn() with use_awaitable forwards a cancellation to the other executor through a raw pointer
 * that dangles if the work completes first. This function calls `cancel` instead of forwarding the cancellation.
 *
 * @param executor Executor of the work, usually a strand.
 * @param work The coroutine; its value type must be default-constructible.
 * @param cancel Called on the executor when the waiting coroutine is cancelled; must make the work complete soon.
 * @return The value of the work; its exception is rethrown.
 */
template<typename Value>
boost::asio::awaitable<Value>
awaitOn(boost::asio::any_io_executor executor, boost::asio::awaitable<Value> work, std::function<void()> cancel)
{
    namespace asio = boost::asio;
    using Channel = asio::experimental::concurrent_channel<void(boost::system::error_code,
                                                                std::shared_ptr<detail::Completion<Value>>)>;
    auto channel = std::make_shared<Channel>(co_await asio::this_coro::executor, 1);
    detail::CancelGuard guard(executor, std::move(cancel));
    asio::co_spawn(executor, std::move(work), [channel](std::exception_ptr exception, Value value) {
        auto completion = std::make_shared<detail::Completion<Value>>();
        completion->exception = std::move(exception);
        completion->value = std::move(value);
        channel->try_send(boost::system::error_code(), std::move(completion));
    });
    const std::shared_ptr<detail::Completion<Value>> completion = co_await channel->async_receive(asio::use_awaitable);
    guard.release();
    if (completion->exception) {
        std::rethrow_exception(completion->exception);
    }
    co_return std::move(completion->value);
}

}
