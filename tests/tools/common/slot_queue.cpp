#include "tools/common/slot_queue.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::tools {

namespace asio = boost::asio;

struct SlotQueue::Waiter
{
    explicit Waiter(const asio::any_io_executor &executor)
        : timer(executor, asio::steady_timer::time_point::max())
    {
    }
    asio::steady_timer timer; ///< Cancelled on the waiter's strand when the slot is granted.
    bool isGranted = false; ///< Guarded by the mutex of the queue.
};

/** @brief Removes the waiter from the queue on destruction, and releases a granted slot that was not taken. */
class SlotQueue::QueueEntry
{
public:
    QueueEntry(SlotQueue &queue, std::shared_ptr<Waiter> waiter)
        : m_queue(queue)
        , m_waiter(std::move(waiter))
    {
    }
    QueueEntry(const QueueEntry &) = delete;
    QueueEntry &operator=(const QueueEntry &) = delete;
    ~QueueEntry()
    {
        bool wasGranted = false;
        {
            const std::scoped_lock lock(m_queue.m_mutex);
            wasGranted = m_waiter->isGranted;
            std::erase(m_queue.m_waiting, m_waiter);
        }
        if (wasGranted && !m_isSlotTaken) {
            m_queue.release();
        }
    }
    /** @return Whether the slot was granted; the caller then owns it. */
    bool takeSlot()
    {
        const std::scoped_lock lock(m_queue.m_mutex);
        m_isSlotTaken = m_waiter->isGranted;
        return m_isSlotTaken;
    }

private:
    SlotQueue &m_queue;
    std::shared_ptr<Waiter> m_waiter;
    bool m_isSlotTaken = false;
};

SlotQueue::Slot::~Slot()
{
    if (m_queue != nullptr) {
        m_queue->release();
    }
}

SlotQueue::SlotQueue(std::int64_t slots)
    : m_slots(slots)
{
}

asio::awaitable<SlotQueue::Slot> SlotQueue::acquire()
{
    auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
    QueueEntry entry(*this, waiter);
    {
        const std::scoped_lock lock(m_mutex);
        m_waiting.push_back(waiter);
    }
    grantFreeSlots();
    boost::system::error_code error;
    if (!entry.takeSlot()) {
        co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        if (!entry.takeSlot()) {
            throw boost::system::system_error(asio::error::operation_aborted);
        }
    }
    co_return Slot(this);
}

void SlotQueue::resize(std::int64_t slots)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_slots = slots;
    }
    grantFreeSlots();
}

std::int64_t SlotQueue::running() const
{
    const std::scoped_lock lock(m_mutex);
    return m_running;
}

std::int64_t SlotQueue::waiting() const
{
    const std::scoped_lock lock(m_mutex);
    return static_cast<std::int64_t>(m_waiting.size());
}

void SlotQueue::release()
{
    {
        const std::scoped_lock lock(m_mutex);
        --m_running;
    }
    grantFreeSlots();
}

void SlotQueue::grantFreeSlots()
{
    const std::scoped_lock lock(m_mutex);
    while (!m_waiting.empty() && m_running < m_slots) {
        std::shared_ptr<Waiter> waiter = std::move(m_waiting.front());
        m_waiting.pop_front();
        waiter->isGranted = true;
        ++m_running;
        asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
    }
}

}
