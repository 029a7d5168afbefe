#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <utility>

#include <boost/asio/awaitable.hpp>

namespace berylspring::tools {

/** @brief Semaphore for coroutines: a number of slots with a FIFO queue of waiters. */
class SlotQueue
{
public:
    /** @brief Releases its slot when it is destroyed. */
    class Slot
    {
    public:
        explicit Slot(SlotQueue *queue) noexcept
            : m_queue(queue)
        {
        }
        Slot(Slot &&other) noexcept
            : m_queue(std::exchange(other.m_queue, nullptr))
        {
        }
        Slot(const Slot &) = delete;
        Slot &operator=(const Slot &) = delete;
        Slot &operator=(Slot &&) = delete;
        ~Slot();

    private:
        SlotQueue *m_queue;
    };

    explicit SlotQueue(std::int64_t slots);

    /**
     * @brief Waits for a slot on the strand of the caller.
     * A cancelled wait leaves the queue and throws boost::system::system_error.
     */
    boost::asio::awaitable<Slot> acquire();
    /** @brief Changes the number of slots. Slots already held stay valid if there are now fewer. */
    void resize(std::int64_t slots);

    [[nodiscard]] std::int64_t running() const;
    [[nodiscard]] std::int64_t waiting() const;

private:
    struct Waiter;
    class QueueEntry;

    void release();
    void grantFreeSlots();

    mutable std::mutex m_mutex;
    std::int64_t m_slots;
    std::int64_t m_running = 0;
    std::deque<std::shared_ptr<Waiter>> m_waiting;
};

}
