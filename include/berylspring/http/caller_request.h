#pragma once

#include "berylspring/core/refusal.h"
#include "berylspring/core/shared_immutable.h"
#include "berylspring/core/time.h"
#include "berylspring/http/messages.h"
#include "berylspring/wire/messages.h"

#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace berylspring::http {

/** @brief A request on the caller port, with its control fields extracted from the headers. */
struct CallerRequestFields
{
    std::string method;
    std::string target;
    std::string host; ///< Value of `Host`.
    std::string requestId; ///< Value of `X-Request-Id`: identifies the caller's attempt in logs; may be empty.
    wire::Headers headers; ///< Headers for the endpoint: without Authorization, Berylspring-* and traceparent.
    std::string body;
    std::optional<std::string> key; ///< Token of `Authorization: Bearer`.
    std::optional<std::string> contextToken; ///< Value of `Berylspring-Context`; present in a nested call.
    std::optional<core::Duration> timeout; ///< Value of `Berylspring-Timeout-Ms`.
    std::optional<std::string> idempotencyKey;
    std::string traceParent;
    [[nodiscard]] bool operator==(const CallerRequestFields &) const = default;
};
using CallerRequest = core::SharedImmutable<CallerRequestFields>;

/** @return The request, or a refusal: KeyInvalid for another scheme than Bearer, else BadRequest. */
[[nodiscard]] tl::expected<CallerRequest, core::Refusal> parseCallerRequest(Request request);

/** @return The endpoint's response, or the problem document if the request was refused. */
[[nodiscard]] Response callerResponse(wire::CallResponse response);

}
