#include "wire/frame_reader.h"

#include "wire/frame_compression.h"

#include <algorithm>

namespace berylspring::wire::detail {

namespace {

constexpr std::size_t PrefixBytes = 4;
constexpr std::size_t BitsPerByte = 8;
constexpr std::size_t InitialBytes = std::size_t{8} * 1024;
// An empty buffer above this size is released, so that idle connections use little memory.
constexpr std::size_t RetainedBytes = std::size_t{64} * 1024;

}

FrameReader::FrameReader(std::size_t maxFrameBytes)
    : m_maxFrameBytes(maxFrameBytes)
{
}

void FrameReader::setMaxFrameBytes(std::size_t maxFrameBytes) noexcept
{
    m_maxFrameBytes = maxFrameBytes;
}

std::span<std::uint8_t> FrameReader::prepare()
{
    makeRoom();
    return std::span(m_buffer).subspan(m_end);
}

void FrameReader::commit(std::size_t byteCount)
{
    m_end += std::min(byteCount, m_buffer.size() - m_end);
}

Result<std::optional<std::span<const std::uint8_t>>> FrameReader::next()
{
    if (available() < PrefixBytes) {
        return std::nullopt;
    }
    const std::size_t frameBytes = announcedFrameBytes();
    if (frameBytes > m_maxFrameBytes) {
        return tl::unexpected(Error(ErrorCode::TooLarge, false, "frame is over the limit"));
    }
    if (frameBytes == PrefixBytes) {
        return tl::unexpected(Error(ErrorCode::Malformed, false, "frame is empty"));
    }
    if (available() < frameBytes) {
        return std::nullopt;
    }
    const auto frame = std::span<const std::uint8_t>(m_buffer).subspan(m_begin, frameBytes);
    m_begin += frameBytes;
    return frame;
}

bool FrameReader::hasFrame() const noexcept
{
    return available() >= PrefixBytes && available() >= announcedFrameBytes();
}

std::size_t FrameReader::announcedFrameBytes() const noexcept
{
    std::size_t length = 0;
    for (std::size_t i = PrefixBytes; i > 0; --i) {
        length = (length << BitsPerByte) | m_buffer[m_begin + i - 1];
    }
    return (length & ~std::size_t{CompressedFlag}) + PrefixBytes;
}

void FrameReader::makeRoom()
{
    if (available() == 0) {
        m_begin = 0;
        m_end = 0;
        if (m_buffer.size() > RetainedBytes) {
            m_buffer = {};
        }
    } else if (m_begin > 0) {
        std::copy(m_buffer.begin() + static_cast<std::ptrdiff_t>(m_begin),
                  m_buffer.begin() + static_cast<std::ptrdiff_t>(m_end),
                  m_buffer.begin());
        m_end = available();
        m_begin = 0;
    }
    if (m_buffer.size() == m_end) {
        m_buffer.resize(std::max(InitialBytes, 2 * m_buffer.size()));
    }
}

}
