#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/refusal.h"
#include "berylspring/core/time.h"
#include "berylspring/http/messages.h"
#include "berylspring/wire/messages.h"

#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace berylspring::http {

/** @brief A request on the caller port, its control fields taken out of the header. */
struct CallerRequestFields
{
    std::string method;
    std::string target;
    std::string host; ///< Value of `Host`.
    std::string requestId; ///< Identifies the caller's attempt in logs; may be empty.
    wire::Headers headers; ///< For the endpoint: without Authorization, Berylspring-* and traceparent.
    std::string body;
    std::optional<std::string> key; ///< Of `Authorization: Bearer`.
    std::optional<std::string> contextToken; ///< Of `Berylspring-Context`: a nested call.
    std::optional<core::Duration> timeout; ///< Of `Berylspring-Timeout-Ms`.
    std::optional<std::string> idempotencyKey;
    std::string traceParent;
    [[nodiscard]] bool operator==(const CallerRequestFields &) const = default;
};
using CallerRequest = core::Immutable<CallerRequestFields>;

/** @return The request, or BadRequest for control fields that are malformed. */
[[nodiscard]] tl::expected<CallerRequest, core::Refusal> parseCallerRequest(Request request);

/** @return The endpoint's answer, or the problem document of the refusal in its place. */
[[nodiscard]] Response callerResponse(const wire::CallResponse &response);

}
