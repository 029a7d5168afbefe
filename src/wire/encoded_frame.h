#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <utility>

namespace berylspring::wire::detail {

/** @brief A complete frame with its length prefix. Copies share the buffer. */
class EncodedFrame
{
public:
    EncodedFrame() = default;
    /**
     * @param owner Owner of the buffer.
     * @param bytes Bytes of the frame within the buffer.
     */
    EncodedFrame(std::shared_ptr<const void> owner, std::span<const std::uint8_t> bytes)
        : m_owner(std::move(owner))
        , m_bytes(bytes)
    {
    }

    [[nodiscard]] std::span<const std::uint8_t> bytes() const noexcept
    {
        return m_bytes;
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_bytes.size();
    }

private:
    std::shared_ptr<const void> m_owner;
    std::span<const std::uint8_t> m_bytes;
};

}
