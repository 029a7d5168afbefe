#include "wire/handshake.h"

namespace berylspring::wire::detail {

namespace {

constexpr unsigned int BitsPerByte = 8;

void appendNumber(std::string &text, std::uint64_t value)
{
    for (std::size_t i = 0; i < sizeof(value); ++i) {
        text.push_back(static_cast<char>((value >> (i * BitsPerByte)) & 0xffU));
    }
}

/** @brief Every field has a fixed size or a length prefix, so that different hellos never have the same encoding. */
void appendHello(std::string &text, const Hello &hello)
{
    appendNumber(text, hello->protocol);
    appendNumber(text, hello->host.value().size());
    text += hello->host.value();
    appendNumber(text, hello->bootId);
    text.append(hello->nonce.begin(), hello->nonce.end());
}

}

HelloProof proofOf(std::string_view secret, Role prover, const Hello &client, const Hello &server)
{
    std::string text = prover == Role::Client ? "berylspring client" : "berylspring server";
    appendHello(text, client);
    appendHello(text, server);
    return HelloProof(HelloProofFields{core::hmacSha256(secret, text)});
}

Result<void>
checkProof(const HelloProof &proof, std::string_view secret, Role prover, const Hello &client, const Hello &server)
{
    if (!core::isEqualConstantTime(proof->proof, proofOf(secret, prover, client, server)->proof)) {
        return tl::unexpected(Error(ErrorCode::NotAuthenticated, false, "peer does not know the fleet secret"));
    }
    return {};
}

Result<void> checkHello(const Hello &hello)
{
    if (hello->protocol != ProtocolVersion) {
        return tl::unexpected(Error(ErrorCode::NotAuthenticated, false, "peer speaks another protocol version"));
    }
    return {};
}

}
