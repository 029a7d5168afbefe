#include "wire/frame_queue.h"

#include <algorithm>
#include <utility>

namespace berylspring::wire::detail {

namespace {

// Limits of one gather write: Asio passes at most 64 buffers, and a socket buffer rarely holds more bytes than this.
constexpr std::size_t MaxBatchFrames = 64;
constexpr std::size_t MaxBatchBytes = std::size_t{512} * 1024;

}

FrameQueue::FrameQueue(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

bool FrameQueue::push(std::uint64_t requestNumber, EncodedFrame frame)
{
    if (m_waitingBytes + frame.size() > m_maxBytes) {
        return false;
    }
    m_waitingBytes += frame.size();
    m_waiting.push_back(Entry{requestNumber, std::move(frame)});
    return true;
}

bool FrameQueue::withdraw(std::uint64_t requestNumber)
{
    const auto found = std::find_if(
        m_waiting.begin(), m_waiting.end(), [&](const Entry &entry) { return entry.requestNumber == requestNumber; });
    if (found == m_waiting.end()) {
        return false;
    }
    m_waitingBytes -= found->frame.size();
    m_waiting.erase(found);
    return true;
}

std::vector<std::span<const std::uint8_t>> FrameQueue::takeBatch()
{
    std::size_t bytes = 0;
    for (const Entry &entry : m_batch) {
        bytes += entry.frame.size();
    }
    while (!m_waiting.empty() && m_batch.size() < MaxBatchFrames && bytes < MaxBatchBytes) {
        bytes += m_waiting.front().frame.size();
        m_waitingBytes -= m_waiting.front().frame.size();
        m_batch.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
    std::vector<std::span<const std::uint8_t>> buffers;
    buffers.reserve(m_batch.size());
    for (const Entry &entry : m_batch) {
        buffers.push_back(entry.frame.bytes().subspan(buffers.empty() ? m_firstOffset : 0));
    }
    return buffers;
}

void FrameQueue::finishBatch(std::size_t byteCount)
{
    std::size_t remaining = byteCount + m_firstOffset;
    m_firstOffset = 0;
    while (!m_batch.empty() && remaining >= m_batch.front().frame.size()) {
        remaining -= m_batch.front().frame.size();
        m_batch.pop_front();
    }
    const std::size_t partlyWrittenFrames = remaining > 0 ? 1 : 0;
    m_firstOffset = remaining;
    while (m_batch.size() > partlyWrittenFrames) {
        m_waitingBytes += m_batch.back().frame.size();
        m_waiting.push_front(std::move(m_batch.back()));
        m_batch.pop_back();
    }
}

std::set<std::uint64_t> FrameQueue::waitingRequests() const
{
    std::set<std::uint64_t> numbers;
    for (const Entry &entry : m_waiting) {
        if (entry.requestNumber != 0) {
            numbers.insert(entry.requestNumber);
        }
    }
    return numbers;
}

void FrameQueue::discardWaiting() noexcept
{
    m_waiting.clear();
    m_waitingBytes = 0;
}

}
