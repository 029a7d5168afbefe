#pragma once

#include "berylspring/core/outcome.h"
#include "integration/harness/http_calls.h"

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace berylspring::test {

/** @brief One call of a caller. */
struct CallFields
{
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::string key; ///< Empty: none is sent.
    std::string idempotencyKey; ///< Empty: none is sent.
    core::Duration timeout = std::chrono::seconds(5); ///< Sent as Berylspring-Timeout-Ms and kept by the caller.
    [[nodiscard]] bool operator==(const CallFields &) const = default;
};
using Call = core::Immutable<CallFields>;

/** @brief What a caller learns from a call. */
struct CallResultFields
{
    /** Answered: an endpoint's answer of any status. Unknown: also a lost connection or no answer in time. */
    core::Outcome outcome = core::Outcome::Unknown;
    std::string reason; ///< Of the refusal, else "connection" or "timeout"; empty for an answer.
    std::uint16_t status = 0;
    std::optional<core::Duration> retryAfter;
    std::string body;
    std::string mismatch; ///< How an answer of 2xx differs from the one to this request; empty if it does not.
    core::Duration latency{};
    [[nodiscard]] bool operator==(const CallResultFields &) const = default;
};

class CallResult : public core::Immutable<CallResultFields>
{
public:
    using Immutable::Immutable;
    /** @return Whether the call has the whole, right answer of an endpoint. */
    [[nodiscard]] bool isComplete() const;
};

/** @brief Sends a call and checks that an answer is the one to this request. */
[[nodiscard]] boost::asio::awaitable<CallResult> callAsync(http::Client &client, Call call);
/** @brief callAsync() to a port of 127.0.0.1, blocking. */
[[nodiscard]] CallResult call(HttpCalls &calls, std::uint16_t port, const Call &call);

/** @return The result that a caller reads from the response to its request. */
[[nodiscard]] CallResult classify(const http::Request &request, const http::Result<http::Response> &response);

}
