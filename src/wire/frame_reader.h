#pragma once

#include "berylspring/wire/error.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace berylspring::wire::detail {

/**
 * @brief Cuts a byte stream into frames with their length prefix.
 *
 * Memory grows with the bytes that arrived, not with the length that a peer announces.
 */
class FrameReader
{
public:
    /** @param maxFrameBytes Limit of a frame with its prefix. */
    explicit FrameReader(std::size_t maxFrameBytes);

    /** @brief Replaces the limit, for example once the peer has proved who it is. */
    void setMaxFrameBytes(std::size_t maxFrameBytes) noexcept;

    /** @return Room for the next bytes of the stream; valid until the next call of any member. */
    [[nodiscard]] std::span<std::uint8_t> prepare();

    /** @param byteCount Number of bytes written to the room that prepare() returned. */
    void commit(std::size_t byteCount);

    /** @return The next frame, valid until prepare(); nothing when it is incomplete; TooLarge or Malformed. */
    [[nodiscard]] Result<std::optional<std::span<const std::uint8_t>>> next();

    /** @return Whether next() has another whole frame. */
    [[nodiscard]] bool hasFrame() const noexcept;

private:
    [[nodiscard]] std::size_t available() const noexcept
    {
        return m_end - m_begin;
    }
    [[nodiscard]] std::size_t announcedFrameBytes() const noexcept;
    void makeRoom();

    std::size_t m_maxFrameBytes;
    std::vector<std::uint8_t> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

}
