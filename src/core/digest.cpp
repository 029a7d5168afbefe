#include "berylspring/core/digest.h"

#include <memory>

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
    // The one-shot functions of OpenSSL look the algorithm up and allocate a context in each call.
    static const EVP_MD *const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    thread_local const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                                       &EVP_MD_CTX_free);
    Digest::Bytes result{};
    const bool isComputed = EVP_DigestInit_ex2(context.get(), algorithm, nullptr) == 1
                            && EVP_DigestUpdate(context.get(), bytes.data(), bytes.size()) == 1
                            && EVP_DigestFinal_ex(context.get(), result.data(), nullptr) == 1;
    if (!isComputed) {
        SHA256(asBytes(bytes), bytes.size(), result.data());
    }
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
