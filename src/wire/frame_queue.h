#pragma once

#include "wire/encoded_frame.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <span>
#include <vector>

namespace berylspring::wire::detail {

/**
 * @brief Queue of frames to write, and the batch that is currently being written.
 *
 * No byte of a waiting frame has been handed to the socket. Not thread-safe.
 */
class FrameQueue
{
public:
    /** @param maxBytes Limit of the waiting bytes. */
    explicit FrameQueue(std::size_t maxBytes);

    /**
     * @param requestNumber Number for withdraw(); 0 if the frame cannot be withdrawn.
     * @param frame The frame.
     * @return False if the queue is full.
     */
    [[nodiscard]] bool push(std::uint64_t requestNumber, EncodedFrame frame);

    /** @return True if the frame was still waiting and is removed; false if it was, or is being, written. */
    [[nodiscard]] bool withdraw(std::uint64_t requestNumber);

    /** @return The next bytes to write, in order, one buffer per frame; empty if there are none. */
    [[nodiscard]] std::vector<std::span<const std::uint8_t>> takeBatch();

    /**
     * @brief Ends the write of a batch. Frames of which no byte was written return to the queue.
     * @param byteCount Number of bytes of the batch that were written.
     */
    void finishBatch(std::size_t byteCount);

    /** @return Numbers of the waiting requests, without those in the batch that is being written. */
    [[nodiscard]] std::set<std::uint64_t> waitingRequests() const;

    /** @return Whether no frame is waiting, being written or partly written. */
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_waiting.empty() && m_batch.empty();
    }
    [[nodiscard]] std::size_t waitingBytes() const noexcept
    {
        return m_waitingBytes;
    }

    /** @brief Drops the waiting frames. The batch that is being written stays valid. */
    void discardWaiting() noexcept;

private:
    struct Entry
    {
        std::uint64_t requestNumber = 0;
        EncodedFrame frame;
    };

    std::size_t m_maxBytes;
    std::deque<Entry> m_waiting;
    std::deque<Entry> m_batch;
    std::size_t m_firstOffset = 0; ///< Number of bytes of the first frame of the batch that are already written.
    std::size_t m_waitingBytes = 0;
};

}
