#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/wire/error.h"
#include "wire/envelope.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace berylspring::wire::detail {

/** @brief Version of the inner protocol; both sides must have the same. */
inline constexpr std::uint32_t ProtocolVersion = 1;

/** Largest frame before the peer has proved the secret. */
inline constexpr std::size_t MaxHandshakeFrameBytes = 4096;

enum class Role {
    Client, ///< Opened the connection.
    Server,
};

/**
 * @brief What one side sends to prove that it knows the secret.
 * @param secret Fleet secret.
 * @param prover Side that sends the proof; keeps one side's proof from being sent back as the other's.
 * @param client Hello of the client.
 * @param server Hello of the server.
 */
[[nodiscard]] HelloProof proofOf(std::string_view secret, Role prover, const Hello &client, const Hello &server);

/** @return Nothing, or NotAuthenticated. */
[[nodiscard]] Result<void>
checkProof(const HelloProof &proof, std::string_view secret, Role prover, const Hello &client, const Hello &server);

/** @return Nothing, or NotAuthenticated when the peer speaks another version of the protocol. */
[[nodiscard]] Result<void> checkHello(const Hello &hello);

}
