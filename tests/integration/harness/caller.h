#pragma once

#include "berylspring/core/outcome.h"
#include "integration/harness/http_calls.h"

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace berylspring::test {

/** @brief One call that a caller sends. */
struct CallFields
{
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::string key; ///< Empty: none is sent.
    std::string idempotencyKey; ///< Empty: none is sent.
    core::Duration timeout = std::chrono::seconds(5); ///< Sent as Berylspring-Timeout-Ms and enforced by the caller.
    [[nodiscard]] bool operator==(const CallFields &) const = default;
};
using Call = core::Immutable<CallFields>;

/** @brief The result of a call as its caller observes it. */
struct CallResultFields
{
    /** Answered: an answer of an endpoint with any status. Unknown: also a lost connection or a timeout. */
    core::Outcome outcome = core::Outcome::Unknown;
    std::string reason; ///< Reason of the refusal, else "connection" or "timeout"; empty for an answer.
    std::uint16_t status = 0;
    std::optional<core::Duration> retryAfter;
    std::string body;
    std::string mismatch; ///< How a 2xx answer differs from the expected one; empty if it does not.
    core::Duration latency{};
    [[nodiscard]] bool operator==(const CallResultFields &) const = default;
};

class CallResult : public core::Immutable<CallResultFields>
{
public:
    using Immutable::Immutable;
    /** @return Whether the call got the complete and expected 2xx answer of an endpoint. */
    [[nodiscard]] bool isComplete() const;
};

/** @brief Sends a call and checks that the answer belongs to this request. */
[[nodiscard]] boost::asio::awaitable<CallResult> callAsync(http::Client &client, Call call);
/** @brief Blocking variant of callAsync() for a port of 127.0.0.1. */
[[nodiscard]] CallResult call(HttpCalls &calls, std::uint16_t port, const Call &call);

/** @return The result that the response to a request stands for. */
[[nodiscard]] CallResult classify(const http::Request &request, const http::Result<http::Response> &response);

}
