#include "wire/frame_compression.h"

#include "berylspring/wire/peer_options.h"
#include "wire/envelope_codec.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <xxhash.h>
#include <zlib.h>

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
/** Window and hash table for frames of a few KiB; larger ones cost memory and setup time for each frame. */
constexpr int WindowBits = 12;
constexpr int MemoryLevel = 4;
constexpr int CompressionLevel = 4;

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

/** zlib takes its input as a pointer to non-const, but does not change it. */
Bytef *inputOf(const void *bytes) noexcept
{
    return static_cast<Bytef *>(const_cast<void *>(bytes));
}

const Bytef *dictionaryOf(const std::string &dictionary) noexcept
{
    return reinterpret_cast<const Bytef *>(dictionary.data());
}

/** @brief Releases a zlib stream on scope exit. */
template<int (*End)(z_stream *)>
struct StreamGuard
{
    z_stream &stream;
    ~StreamGuard()
    {
        End(&stream);
    }
};

Error malformed(const char *detail)
{
    return {ErrorCode::Malformed, false, detail};
}

}

FrameCompression::FrameCompression(std::string dictionary)
    : m_dictionary(std::move(dictionary))
    , m_dictionaryId(m_dictionary.empty() ? 0 : XXH64(m_dictionary.data(), m_dictionary.size(), 0))
{
}

bool FrameCompression::isCompressed(std::span<const std::uint8_t> frame) noexcept
{
    return frame.size() >= PrefixBytes && (readLength(frame) & CompressedFlag) != 0;
}

EncodedFrame FrameCompression::compressed(const EncodedFrame &frame) const
{
    if (m_dictionary.empty() || frame.size() < MinFrameBytes || frame.size() > MaxFrameBytes) {
        return frame;
    }
    z_stream stream{};
    if (deflateInit2(&stream, CompressionLevel, Z_DEFLATED, WindowBits, MemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK) {
        return frame;
    }
    const StreamGuard<deflateEnd> guard{stream};
    deflateSetDictionary(&stream, dictionaryOf(m_dictionary), static_cast<uInt>(m_dictionary.size()));
    // A stream that does not fit into this buffer is not shorter than the frame.
    auto bytes = std::make_shared<std::vector<std::uint8_t>>(frame.size());
    stream.next_in = inputOf(frame.bytes().data());
    stream.avail_in = static_cast<uInt>(frame.size());
    stream.next_out = bytes->data() + HeaderBytes;
    stream.avail_out = static_cast<uInt>(bytes->size() - HeaderBytes);
    if (deflate(&stream, Z_FINISH) != Z_STREAM_END) {
        return frame;
    }
    bytes->resize(HeaderBytes + stream.total_out);
    writeLength(*bytes, static_cast<std::uint32_t>(bytes->size() - PrefixBytes) | CompressedFlag);
    writeLength(std::span(*bytes).subspan(PrefixBytes), static_cast<std::uint32_t>(frame.size()));
    const std::span<const std::uint8_t> view(*bytes);
    return {std::move(bytes), view};
}

Result<std::vector<std::uint8_t>> FrameCompression::decompressed(std::span<const std::uint8_t> frame) const
{
    if (frame.size() < HeaderBytes) {
        return tl::unexpected(malformed("compressed frame is too short"));
    }
    const std::uint32_t length = readLength(frame.subspan(PrefixBytes));
    if (length < MinFrameBytes || length > MaxFrameBytes) {
        return tl::unexpected(malformed("length inside a compressed frame is out of range"));
    }
    z_stream stream{};
    if (inflateInit2(&stream, WindowBits) != Z_OK) {
        return tl::unexpected(malformed("no memory for a compressed frame"));
    }
    const StreamGuard<inflateEnd> guard{stream};
    std::vector<std::uint8_t> bytes(length);
    stream.next_in = inputOf(frame.data() + HeaderBytes);
    stream.avail_in = static_cast<uInt>(frame.size() - HeaderBytes);
    stream.next_out = bytes.data();
    stream.avail_out = static_cast<uInt>(bytes.size());
    int status = inflate(&stream, Z_FINISH);
    if (status == Z_NEED_DICT) {
        status = inflateSetDictionary(&stream, dictionaryOf(m_dictionary), static_cast<uInt>(m_dictionary.size()));
        status = status == Z_OK ? inflate(&stream, Z_FINISH) : status;
    }
    if (status != Z_STREAM_END || stream.avail_out != 0 || stream.avail_in != 0) {
        return tl::unexpected(malformed("compressed frame is damaged"));
    }
    return bytes;
}

}

}
