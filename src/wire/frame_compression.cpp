#include "wire/frame_compression.h"

#include "berylspring/wire/peer_options.h"
#include "wire/envelope_codec.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <xxhash.h>
#include <zstd.h>

namespace berylspring::wire {

std::string makeDictionary(const std::vector<Message> &typical)
{
    std::string dictionary;
    for (const Message &message : typical) {
        const auto frame = detail::encode(detail::RequestKey{}, message, detail::MaxDictionaryMessageBytes);
        if (frame) {
            dictionary.append(reinterpret_cast<const char *>(frame->bytes().data()), frame->size());
        }
    }
    return dictionary;
}

namespace detail {

namespace {

constexpr std::size_t PrefixBytes = 4;
constexpr std::size_t HeaderBytes = 2 * PrefixBytes;
constexpr std::size_t BitsPerByte = 8;
/** Shorter frames gain little from compression. */
constexpr std::size_t MinFrameBytes = 96;
/** Longer frames are mostly bodies, which are often compressed already; compressing them would waste CPU time. */
constexpr std::size_t MaxFrameBytes = std::size_t{8} * 1024;
/** Negative levels of Zstandard favour speed. Nearly all of the gain on short frames comes from the dictionary. */
constexpr int CompressionLevel = -1;
/** Part of the dictionary id, so that nodes of a version with another format exchange uncompressed frames. */
constexpr std::uint64_t FormatId = 2;

std::uint32_t readLength(std::span<const std::uint8_t> bytes) noexcept
{
    std::uint32_t value = 0;
    for (std::size_t i = PrefixBytes; i > 0; --i) {
        value = (value << BitsPerByte) | bytes[i - 1];
    }
    return value;
}

void writeLength(std::span<std::uint8_t> bytes, std::uint32_t value) noexcept
{
    for (std::size_t i = 0; i < PrefixBytes; ++i) {
        bytes[i] = static_cast<std::uint8_t>(value >> (BitsPerByte * i));
    }
}

using CompressionContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressionContext = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/** @return A context that is kept for further frames; null if there is no memory. */
ZSTD_CCtx *compressionContext()
{
    thread_local const CompressionContext context = [] {
        CompressionContext created(ZSTD_createCCtx(), &ZSTD_freeCCtx);
        if (created) {
            // The length precedes the Zstandard frame.
            ZSTD_CCtx_setParameter(created.get(), ZSTD_c_contentSizeFlag, 0);
            ZSTD_CCtx_setParameter(created.get(), ZSTD_c_checksumFlag, 1);
        }
        return created;
    }();
    return context.get();
}

ZSTD_DCtx *decompressionContext()
{
    thread_local const DecompressionContext context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    return context.get();
}

Error malformed(const char *detail)
{
    return {ErrorCode::Malformed, false, detail};
}

}

/** @brief The dictionary, prepared for both directions. */
struct FrameCompression::Dictionary
{
    explicit Dictionary(const std::string &bytes)
        : forCompression(ZSTD_createCDict(bytes.data(), bytes.size(), CompressionLevel), &ZSTD_freeCDict)
        , forDecompression(ZSTD_createDDict(bytes.data(), bytes.size()), &ZSTD_freeDDict)
    {
    }

    std::unique_ptr<ZSTD_CDict, decltype(&ZSTD_freeCDict)> forCompression;
    std::unique_ptr<ZSTD_DDict, decltype(&ZSTD_freeDDict)> forDecompression;
};

FrameCompression::FrameCompression(const std::string &dictionary)
    : m_dictionary(dictionary.empty() ? nullptr : std::make_shared<const Dictionary>(dictionary))
    , m_dictionaryId(dictionary.empty() ? 0 : XXH64(dictionary.data(), dictionary.size(), FormatId))
{
}

bool FrameCompression::isCompressed(std::span<const std::uint8_t> frame) noexcept
{
    return frame.size() >= PrefixBytes && (readLength(frame) & CompressedFlag) != 0;
}

EncodedFrame FrameCompression::compressed(const EncodedFrame &frame) const
{
    if (!m_dictionary || frame.size() < MinFrameBytes || frame.size() > MaxFrameBytes) {
        return frame;
    }
    ZSTD_CCtx *const context = compressionContext();
    if (context == nullptr || ZSTD_isError(ZSTD_CCtx_refCDict(context, m_dictionary->forCompression.get())) != 0) {
        return frame;
    }
    // A result that does not fit into this buffer is not shorter than the frame.
    auto bytes = std::make_shared<std::vector<std::uint8_t>>(frame.size());
    const std::size_t size = ZSTD_compress2(
        context, bytes->data() + HeaderBytes, bytes->size() - HeaderBytes, frame.bytes().data(), frame.size());
    if (ZSTD_isError(size) != 0) {
        return frame;
    }
    bytes->resize(HeaderBytes + size);
    writeLength(*bytes, static_cast<std::uint32_t>(bytes->size() - PrefixBytes) | CompressedFlag);
    writeLength(std::span(*bytes).subspan(PrefixBytes), static_cast<std::uint32_t>(frame.size()));
    const std::span<const std::uint8_t> view(*bytes);
    return {std::move(bytes), view};
}

Result<std::vector<std::uint8_t>> FrameCompression::decompressed(std::span<const std::uint8_t> frame) const
{
    if (frame.size() < HeaderBytes || !m_dictionary) {
        return tl::unexpected(malformed("compressed frame is too short, or has no dictionary"));
    }
    const std::uint32_t length = readLength(frame.subspan(PrefixBytes));
    if (length < MinFrameBytes || length > MaxFrameBytes) {
        return tl::unexpected(malformed("length inside a compressed frame is out of range"));
    }
    ZSTD_DCtx *const context = decompressionContext();
    if (context == nullptr) {
        return tl::unexpected(malformed("no memory for a compressed frame"));
    }
    std::vector<std::uint8_t> bytes(length);
    const std::size_t size = ZSTD_decompress_usingDDict(context,
                                                        bytes.data(),
                                                        bytes.size(),
                                                        frame.data() + HeaderBytes,
                                                        frame.size() - HeaderBytes,
                                                        m_dictionary->forDecompression.get());
    if (ZSTD_isError(size) != 0 || size != length) {
        return tl::unexpected(malformed("compressed frame is damaged"));
    }
    return bytes;
}

}

}
