#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/wire/error.h"
#include "wire/envelope.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace berylspring::wire::detail {

/** @brief Version of the peer protocol; both sides must use the same one. */
inline constexpr std::uint32_t ProtocolVersion = 1;

/** Size limit of a frame before the peer is authenticated. */
inline constexpr std::size_t MaxHandshakeFrameBytes = 4096;

enum class Role {
    Client, ///< The side that opened the connection.
    Server,
};

/**
 * @brief Computes the HMAC by which one side proves that it knows the secret.
 * @param secret Fleet secret.
 * @param prover Side that sends the proof; part of the HMAC, which prevents reflection of a proof to its sender.
 * @param client Hello of the client.
 * @param server Hello of the server.
 */
[[nodiscard]] HelloProof proofOf(std::string_view secret, Role prover, const Hello &client, const Hello &server);

/** @return Nothing, or NotAuthenticated. */
[[nodiscard]] Result<void>
checkProof(const HelloProof &proof, std::string_view secret, Role prover, const Hello &client, const Hello &server);

/** @return Nothing, or NotAuthenticated if the peer uses another protocol version. */
[[nodiscard]] Result<void> checkHello(const Hello &hello);

}
