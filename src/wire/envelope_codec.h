#pragma once

#include "berylspring/wire/error.h"
#include "wire/encoded_frame.h"
#include "wire/envelope.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace berylspring::wire::detail {

/**
 * @param key Key of the frame.
 * @param message Request or answer.
 * @param maxFrameBytes Size limit of the frame including its length prefix.
 * @return The encoded frame, or TooLarge.
 */
[[nodiscard]] Result<EncodedFrame> encode(const RequestKey &key, const Message &message, std::size_t maxFrameBytes);

/** @return The encoded frame, or TooLarge. */
[[nodiscard]] Result<EncodedFrame> encode(const Envelope &envelope, std::size_t maxFrameBytes);

/**
 * @param frame A complete frame with its length prefix; may be malformed.
 * @return The envelope, or Malformed if a field is missing, out of range or inconsistent.
 */
[[nodiscard]] Result<Envelope> decode(std::span<const std::uint8_t> frame);

}
