#pragma once

#include "berylspring/http/messages.h"

#include <cstddef>
#include <optional>
#include <string>

namespace berylspring::tools {

/**
 * @file
 * @brief Response of berylspring-fakeendpoint. It depends only on the request, so that a caller can verify it.
 */

/** @return SHA-256 of the method, target and body of a request, in hexadecimal digits. */
[[nodiscard]] std::string requestDigest(const http::Request &request);

/** @return `size` characters derived from the digest, which reveal a truncated body or that of another request. */
[[nodiscard]] std::string makePadding(const std::string &digest, std::size_t size);

/** @return Response body as JSON: service, digest, text (the request body) and padding (`?size=` characters). */
[[nodiscard]] std::string responseBody(const std::string &service, const http::Request &request);

/**
 * @brief Checks that a response body is complete and belongs to the request.
 * @return Nothing if it does, or a description of the difference.
 */
[[nodiscard]] std::optional<std::string> mismatch(const http::Request &request, const http::Response &response);

/** @return Value of a query parameter of the target, or the fallback if it is absent or not a number. */
[[nodiscard]] double queryNumber(const std::string &target, const std::string &name, double fallback);

}
