#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <utility>

namespace berylspring::wire::detail {

/** @brief A whole frame with its length prefix, in the buffer in which it was encoded. Copies share the buffer. */
class EncodedFrame
{
public:
    EncodedFrame() = default;
    /**
     * @param owner Keeps the bytes alive.
     * @param bytes The frame.
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
