#include "berylspring/core/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace berylspring::core {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";

int hexValue(char c) noexcept
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

const unsigned char *asBytes(std::string_view text) noexcept
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

}

std::optional<Digest> Digest::fromHex(std::string_view text)
{
    if (text.size() != 2 * ByteCount) {
        return std::nullopt;
    }
    Bytes bytes{};
    for (std::size_t i = 0; i < ByteCount; ++i) {
        const int high = hexValue(text[2 * i]);
        const int low = hexValue(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return Digest(bytes);
}

std::string Digest::toHex() const
{
    std::string text;
    text.reserve(2 * ByteCount);
    for (const std::uint8_t byte : m_bytes) {
        text.push_back(HexDigits[byte >> 4U]);
        text.push_back(HexDigits[byte & 0x0fU]);
    }
    return text;
}

Digest sha256(std::string_view bytes)
{
    Digest::Bytes result{};
    SHA256(asBytes(bytes), bytes.size(), result.data());
    return Digest(result);
}

Digest hmacSha256(std::string_view secret, std::string_view bytes)
{
    Digest::Bytes result{};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         secret.data(),
         static_cast<int>(secret.size()),
         asBytes(bytes),
         bytes.size(),
         result.data(),
         &length);
    return Digest(result);
}

bool isEqualConstantTime(const Digest &left, const Digest &right) noexcept
{
    return CRYPTO_memcmp(left.bytes().data(), right.bytes().data(), Digest::ByteCount) == 0;
}

}
