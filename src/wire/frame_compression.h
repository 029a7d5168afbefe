#pragma once

#include "berylspring/wire/error.h"
#include "wire/encoded_frame.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace berylspring::wire::detail {

/** Limit of one message of a dictionary; zlib uses no more of the dictionary than its window of 4 KiB. */
inline constexpr std::size_t MaxDictionaryMessageBytes = 2048;
/** Flag in the length prefix of a compressed frame. */
inline constexpr std::uint32_t CompressedFlag = 1U << 31U;

/**
 * @brief Compresses individual frames with zlib and a preset dictionary that both sides share. Immutable.
 *
 * A compressed frame consists of the length prefix with CompressedFlag, the length of the original frame (4 bytes,
 * little-endian) and a zlib stream. Each frame is a stream of its own, because a queued frame can still be withdrawn.
 */
class FrameCompression
{
public:
    /** @param dictionary Byte sequences that are common in frames, the most common last; empty: no compression. */
    explicit FrameCompression(std::string dictionary);

    /** @return Hash by which two sides detect that they have the same dictionary; 0 without a dictionary. */
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
    std::string m_dictionary;
    std::uint64_t m_dictionaryId = 0;
};

}
