#pragma once

#include "berylspring/wire/error.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace berylspring::wire::detail {

/**
 * @brief Splits a byte stream into length-prefixed frames.
 *
 * The buffer grows with the received bytes, not with the length prefix, so that a peer cannot make it allocate memory
 * by announcing a large frame.
 */
class FrameReader
{
public:
    /** @param maxFrameBytes Size limit of a frame including its length prefix. */
    explicit FrameReader(std::size_t maxFrameBytes);

    /** @brief Changes the limit, for example after the peer has been authenticated. */
    void setMaxFrameBytes(std::size_t maxFrameBytes) noexcept;

    /** @return Buffer space for the next bytes of the stream; valid until the next call of any member function. */
    [[nodiscard]] std::span<std::uint8_t> prepare();

    /** @param byteCount Number of bytes written to the space returned by prepare(). */
    void commit(std::size_t byteCount);

    /** @return The next frame, valid until prepare(); nothing if it is incomplete; or TooLarge or Malformed. */
    [[nodiscard]] Result<std::optional<std::span<const std::uint8_t>>> next();

    /** @return Whether another complete frame is buffered. */
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
