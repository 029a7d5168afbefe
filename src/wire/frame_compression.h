#pragma once

#include "berylspring/wire/error.h"
#include "wire/encoded_frame.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace berylspring::wire::detail {

/** Limit of one message of a dictionary; typical messages that are longer make up little of the traffic. */
inline constexpr std::size_t MaxDictionaryMessageBytes = 2048;
/** Flag in the length prefix of a compressed frame. */
inline constexpr std::uint32_t CompressedFlag = 1U << 31U;

/**
 * @brief Compresses individual frames with Zstandard and a preset dictionary that both sides share. Immutable; copies
 * share the dictionary.
 *
 * A compressed frame consists of the length prefix with CompressedFlag, the length of the original frame (4 bytes,
 * little-endian) and a Zstandard frame with a checksum. Each frame is compressed on its own, because a queued frame can
 * still be withdrawn.
 */
class FrameCompression
{
public:
    /** @param dictionary Byte sequences that are common in frames; empty: no compression. */
    explicit FrameCompression(const std::string &dictionary);

    /** @return Hash by which two sides detect that they have the same format and dictionary; 0 without a dictionary. */
    [[nodiscard]] std::uint64_t dictionaryId() const noexcept
    {
        return m_dictionaryId;
    }
    /** @return The compressed frame, or the frame unchanged if compression does not shorten it. */
    [[nodiscard]] EncodedFrame compressed(const EncodedFrame &frame) const;
    /**
     * @param frame A complete compressed frame; may be malformed.
     * @return The original frame, or Malformed.
     */
    [[nodiscard]] Result<std::vector<std::uint8_t>> decompressed(std::span<const std::uint8_t> frame) const;

    /** @param frame A complete frame. */
    [[nodiscard]] static bool isCompressed(std::span<const std::uint8_t> frame) noexcept;

private:
    struct Dictionary;

    std::shared_ptr<const Dictionary> m_dictionary; ///< Null: no compression.
    std::uint64_t m_dictionaryId = 0;
};

}
