#include "admission/async_event.h"

#include <utility>

#include <boost/asio/associated_cancellation_slot.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/prefer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::admission::detail {

namespace asio = boost::asio;

AsyncEvent::AsyncEvent(const asio::any_io_executor &executor)
    : m_timer(executor)
{
}

void AsyncEvent::set()
{
    Handler handler;
    asio::any_io_executor executor;
    {
        const std::scoped_lock lock(m_mutex);
        m_isSet = true;
        handler = std::move(m_handler);
        executor = std::move(m_handlerExecutor);
        m_handler = nullptr;
        m_handlerExecutor = nullptr;
        m_timer.cancel();
    }
    if (handler) {
        asio::post(executor, std::move(handler));
    }
}

void AsyncEvent::abandon()
{
    Handler handler;
    const std::scoped_lock lock(m_mutex);
    handler = std::move(m_handler);
    m_handler = nullptr;
    m_handlerExecutor = nullptr;
    m_timer.cancel();
}

asio::awaitable<void> AsyncEvent::wait(std::optional<core::Duration> timeout)
{
    const auto self = shared_from_this();
    auto initiation = [self, timeout](auto handler) {
        auto executor = asio::get_associated_executor(handler, self->m_timer.get_executor());
        auto slot = asio::get_associated_cancellation_slot(handler);
        if (slot.is_connected()) {
            slot.assign([weak = std::weak_ptr(self)](asio::cancellation_type) {
                if (const auto waiting = weak.lock()) {
                    waiting->set();
                }
            });
        }
        asio::any_io_executor tracked = asio::prefer(executor, asio::execution::outstanding_work.tracked);
        const auto kept = std::make_shared<decltype(handler)>(std::move(handler));
        self->begin([kept] { std::move (*kept)(); }, std::move(tracked), timeout);
    };
    co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(std::move(initiation), asio::use_awaitable);
}

void AsyncEvent::begin(Handler handler, asio::any_io_executor executor, std::optional<core::Duration> timeout)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_isSet) {
            m_handler = std::move(handler);
            m_handlerExecutor = std::move(executor);
            if (timeout) {
                m_timer.expires_after(*timeout);
                m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
                    const auto waiting = error ? nullptr : weak.lock();
                    if (waiting) {
                        waiting->set();
                    }
                });
            }
            return;
        }
    }
    asio::post(executor, std::move(handler));
}

}
