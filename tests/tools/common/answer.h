#pragma once

#include "berylspring/http/messages.h"

#include <cstddef>
#include <optional>
#include <string>

namespace berylspring::tools {

/** @brief What berylspring-fakeendpoint answers, made only from the request, so that a caller can check it. */

/** @return SHA-256 in hexadecimal digits over method, target and body of a request. */
[[nodiscard]] std::string requestDigest(const http::Request &request);

/** @return Characters that depend on the digest, so that a cut or foreign body is visible. */
[[nodiscard]] std::string paddingOf(const std::string &digest, std::size_t size);

/** @return The answer to a request as JSON text: service, digest, text (the body sent) and padding (`?size=`). */
[[nodiscard]] std::string answerBody(const std::string &service, const http::Request &request);

/**
 * @brief Checks that a response is the whole answer to its own request.
 * @return Nothing if it is, or a text that says what differs.
 */
[[nodiscard]] std::optional<std::string> mismatch(const http::Request &request, const http::Response &response);

/** @return A number from a query parameter of the target, or the fallback if it is absent or not a number. */
[[nodiscard]] double queryNumber(const std::string &target, const std::string &name, double fallback);

}
