#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace berylspring::core {

/** @brief A SHA-256 digest. */
class Digest
{
public:
    static constexpr std::size_t ByteCount = 32;
    using Bytes = std::array<std::uint8_t, ByteCount>;

    Digest() = default;
    explicit Digest(const Bytes &bytes) noexcept
        : m_bytes(bytes)
    {
    }

    /** @return The digest, or nothing if the text is not 64 hexadecimal digits. */
    [[nodiscard]] static std::optional<Digest> fromHex(std::string_view text);

    [[nodiscard]] const Bytes &bytes() const noexcept
    {
        return m_bytes;
    }
    /** @return 64 lower-case hexadecimal digits. */
    [[nodiscard]] std::string toHex() const;

    [[nodiscard]] auto operator<=>(const Digest &) const = default;

private:
    Bytes m_bytes{};
};

/** @return SHA-256 of the bytes. */
[[nodiscard]] Digest sha256(std::string_view bytes);

/** @return HMAC-SHA-256 of the bytes under the secret. */
[[nodiscard]] Digest hmacSha256(std::string_view secret, std::string_view bytes);

/** @brief Compares in constant time, so that the duration does not reveal where the digests differ. */
[[nodiscard]] bool isEqualConstantTime(const Digest &left, const Digest &right) noexcept;

}

template<>
struct std::hash<berylspring::core::Digest>
{
    [[nodiscard]] std::size_t operator()(const berylspring::core::Digest &digest) const noexcept
    {
        std::size_t value = 0;
        std::memcpy(&value, digest.bytes().data(), sizeof(value));
        return value;
    }
};
