#pragma once

#include "berylspring/core/shared_immutable.h"
#include "berylspring/core/time.h"
#include "berylspring/wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylspring::http {

/** @brief A complete HTTP request. */
struct RequestFields
{
    std::string method;
    std::string target; ///< Path and query.
    std::string host; ///< Value of `Host`; if empty, a client sends the address of its server.
    wire::Headers headers; ///< Without `Host` and the hop-by-hop fields.
    std::string body;
    [[nodiscard]] bool operator==(const RequestFields &) const = default;
};
using Request = core::SharedImmutable<RequestFields>;

/** @brief A complete HTTP response. */
struct ResponseFields
{
    std::uint16_t status = 200;
    wire::Headers headers;
    std::string body;
    [[nodiscard]] bool operator==(const ResponseFields &) const = default;
};
using Response = core::SharedImmutable<ResponseFields>;

/** @return The value of the first field with the name (case-insensitive), or an empty text. */
[[nodiscard]] std::string_view headerValue(const wire::Headers &headers, std::string_view name) noexcept;

/** @return Whether the names are equal, ignoring case. */
[[nodiscard]] bool isSameHeaderName(std::string_view left, std::string_view right) noexcept;

/** @return The target without its query. */
[[nodiscard]] std::string_view pathOf(std::string_view target) noexcept;

/** @return The decoded value of a query parameter, or an empty text. */
[[nodiscard]] std::string queryParameter(std::string_view target, std::string_view name);

/** @return A response with a JSON body. */
[[nodiscard]] Response jsonResponse(std::uint16_t status, std::string json);

}
