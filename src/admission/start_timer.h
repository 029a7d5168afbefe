#pragma once

#include "berylspring/core/time.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace berylspring::admission::detail {

/** @brief Timer for the next start of a waiting request. Thread-safe; owned by a std::shared_ptr. */
class StartTimer : public std::enable_shared_from_this<StartTimer>
{
public:
    explicit StartTimer(const boost::asio::any_io_executor &executor);

    /**
     * @brief Calls `onDue` at the time `at`, unless the timer is already set for an earlier one.
     * @param onDue Not called under a lock, nor after the destruction of the timer.
     */
    void set(core::TimePoint at, core::TimePoint now, std::function<void()> onDue);

private:
    void expired();

    std::mutex m_mutex;
    boost::asio::steady_timer m_timer;
    std::optional<core::TimePoint> m_at; ///< While it is set.
};

}
