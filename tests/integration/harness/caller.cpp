#include "integration/harness/caller.h"

#include "tools/common/response_body.h"

#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

namespace berylspring::test {

namespace {

http::Request requestOf(const Call &call)
{
    wire::Headers headers;
    if (!call->key.empty()) {
        headers.push_back({"Authorization", "Bearer " + call->key});
    }
    if (!call->idempotencyKey.empty()) {
        headers.push_back({"Idempotency-Key", call->idempotencyKey});
    }
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(call->timeout);
    headers.push_back({"Berylspring-Timeout-Ms", std::to_string(timeout.count())});
    return http::Request(
        {.method = call->method, .target = call->target, .headers = std::move(headers), .body = call->body});
}

CallResultFields classifyProblem(const http::Response &response)
{
    CallResultFields result{.status = response->status, .body = response->body};
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(response->body, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto text = [&](std::string_view name) {
        const boost::json::value *member = object == nullptr ? nullptr : object->if_contains(name);
        return member != nullptr && member->is_string() ? std::string(member->as_string()) : std::string();
    };
    result.reason = text("reason");
    const auto outcome = core::outcomeFromString(text("outcome"));
    if (!outcome || result.reason.empty()) {
        result.mismatch = "a problem document without outcome and reason: " + response->body;
    }
    result.outcome = outcome.value_or(core::Outcome::Unknown);
    const std::string_view retryAfter = http::headerValue(response->headers, "Retry-After");
    int seconds = 0;
    if (std::from_chars(retryAfter.data(), retryAfter.data() + retryAfter.size(), seconds).ec == std::errc{}) {
        result.retryAfter = std::chrono::seconds(seconds);
    }
    return result;
}

}

bool CallResult::isComplete() const
{
    const CallResultFields &fields = **this;
    return fields.outcome == core::Outcome::Answered && fields.status >= 200 && fields.status < 300
           && fields.mismatch.empty();
}

CallResult classify(const http::Request &request, const http::Result<http::Response> &response)
{
    if (!response) {
        const bool isTimeout = response.error().code() == http::ErrorCode::Timeout;
        const core::Outcome outcome = response.error().maybeSent() ? core::Outcome::Unknown : core::Outcome::NotRun;
        return CallResult({.outcome = outcome, .reason = isTimeout ? "timeout" : "connection"});
    }
    if (http::headerValue((*response)->headers, "Content-Type") == "application/problem+json") {
        return CallResult(classifyProblem(*response));
    }
    CallResultFields result{
        .outcome = core::Outcome::Answered, .status = (*response)->status, .body = (*response)->body};
    if (result.status >= 200 && result.status < 300) {
        result.mismatch = tools::mismatch(request, *response).value_or("");
    }
    return CallResult(std::move(result));
}

boost::asio::awaitable<CallResult> callAsync(http::Client &client, Call call)
{
    // The node answers within the timeout; the margin lets its refusal arrive before the client itself times out.
    constexpr auto Margin = std::chrono::seconds(2);
    const http::Request request = requestOf(call);
    const core::Duration timeout = call->timeout + Margin;
    const auto begin = std::chrono::steady_clock::now();
    const auto response = co_await client.send(request, timeout);
    CallResultFields result = *classify(request, response);
    result.latency = std::chrono::steady_clock::now() - begin;
    co_return CallResult(std::move(result));
}

CallResult call(HttpCalls &calls, std::uint16_t port, const Call &call)
{
    return boost::asio::co_spawn(calls.pool(), callAsync(calls.client(port), call), boost::asio::use_future).get();
}

}
