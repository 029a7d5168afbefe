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
 * @brief Frames that wait to be written, and the batch that is being written.
 *
 * A frame that is still waiting has certainly not been handed to the socket. Not safe for concurrent use.
 */
class FrameQueue
{
public:
    /** @param maxBytes Limit of the bytes that wait. */
    explicit FrameQueue(std::size_t maxBytes);

    /**
     * @param requestNumber Number by which the frame can be withdrawn; 0 for other frames.
     * @param frame The frame.
     * @return False when the queue is full.
     */
    [[nodiscard]] bool push(std::uint64_t requestNumber, EncodedFrame frame);

    /** @return Whether the frame was still waiting; it is then never written. */
    [[nodiscard]] bool withdraw(std::uint64_t requestNumber);

    /** @return The bytes to write next, in order, across several frames; empty when there are none. */
    [[nodiscard]] std::vector<std::span<const std::uint8_t>> takeBatch();

    /**
     * @brief Ends the writing of a batch. Frames of which no byte was written wait again.
     * @param byteCount Number of bytes of the batch that the socket took.
     */
    void written(std::size_t byteCount);

    /** @return Numbers of the requests that wait, without those of a batch that is being written. */
    [[nodiscard]] std::set<std::uint64_t> waitingRequests() const;

    /** @return Whether a frame waits or is half written. */
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_waiting.empty() && m_batch.empty();
    }
    [[nodiscard]] std::size_t waitingBytes() const noexcept
    {
        return m_waitingBytes;
    }

    /** @brief Drops the frames that wait. A batch that is being written stays valid. */
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
    std::size_t m_firstOffset = 0; ///< Bytes of the first frame of the batch that were written before.
    std::size_t m_waitingBytes = 0;
};

}
