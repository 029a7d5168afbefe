#include "admission/start_timer.h"

#include <utility>

namespace berylspring::admission::detail {

StartTimer::StartTimer(const boost::asio::any_io_executor &executor)
    : m_timer(executor)
{
}

void StartTimer::set(core::TimePoint at, core::TimePoint now, std::function<void()> onDue)
{
    const std::scoped_lock lock(m_mutex);
    if (m_at && *m_at <= at) {
        return;
    }
    m_at = at;
    m_timer.expires_after(at - now);
    m_timer.async_wait([weak = weak_from_this(), onDue = std::move(onDue)](const boost::system::error_code &error) {
        const std::shared_ptr<StartTimer> timer = weak.lock();
        if (!error && timer) {
            timer->expired();
            onDue();
        }
    });
}

void StartTimer::expired()
{
    const std::scoped_lock lock(m_mutex);
    m_at.reset();
}

}
