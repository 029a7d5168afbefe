#include "berylspring/http/caller_request.h"

#include "berylspring/http/problem.h"

#include <charconv>

namespace berylspring::http {

namespace {

constexpr std::string_view ControlPrefix = "Berylspring-";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::size_t MaxIdempotencyKeyLength = 255;
constexpr std::uint64_t MaxTimeoutMs = 600'000;

core::Refusal badRequest(std::string detail)
{
    return {core::RefusalReason::BadRequest, core::Outcome::NotRun, std::move(detail)};
}

bool isControlHeader(std::string_view name) noexcept
{
    const bool hasPrefix =
        name.size() >= ControlPrefix.size() && isSameHeaderName(name.substr(0, ControlPrefix.size()), ControlPrefix);
    return hasPrefix || isSameHeaderName(name, "Authorization") || isSameHeaderName(name, "traceparent");
}

wire::Headers withoutControlHeaders(const wire::Headers &headers)
{
    wire::Headers rest;
    for (const wire::Header &header : headers) {
        if (!isControlHeader(header.name)) {
            rest.push_back(header);
        }
    }
    return rest;
}

std::optional<std::string> optionalHeader(const wire::Headers &headers, std::string_view name)
{
    const std::string_view value = headerValue(headers, name);
    return value.empty() ? std::nullopt : std::optional<std::string>(value);
}

/** @return The key, nothing if the field is absent, or a refusal if the scheme is not Bearer. */
tl::expected<std::optional<std::string>, core::Refusal> parseKey(const wire::Headers &headers)
{
    const std::string_view value = headerValue(headers, "Authorization");
    if (value.empty()) {
        return std::optional<std::string>();
    }
    const bool isBearer =
        value.size() > BearerPrefix.size() && isSameHeaderName(value.substr(0, BearerPrefix.size()), BearerPrefix);
    if (!isBearer) {
        return tl::unexpected(
            core::Refusal(core::RefusalReason::KeyInvalid, core::Outcome::NotRun, "Authorization is not a Bearer key"));
    }
    return std::optional<std::string>(value.substr(BearerPrefix.size()));
}

tl::expected<std::optional<core::Duration>, core::Refusal> parseTimeout(const wire::Headers &headers)
{
    const std::string_view text = headerValue(headers, "Berylspring-Timeout-Ms");
    if (text.empty()) {
        return std::optional<core::Duration>();
    }
    std::uint64_t milliseconds = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size() || milliseconds > MaxTimeoutMs) {
        return tl::unexpected(badRequest("Berylspring-Timeout-Ms is not a number from 0 to 600000"));
    }
    return std::optional<core::Duration>(std::chrono::milliseconds(milliseconds));
}

}

tl::expected<CallerRequest, core::Refusal> parseCallerRequest(Request request)
{
    const wire::Headers &headers = request->headers;
    const auto key = parseKey(headers);
    if (!key) {
        return tl::unexpected(key.error());
    }
    const auto timeout = parseTimeout(headers);
    if (!timeout) {
        return tl::unexpected(timeout.error());
    }
    const auto idempotencyKey = optionalHeader(headers, "Idempotency-Key");
    if (idempotencyKey && idempotencyKey->size() > MaxIdempotencyKeyLength) {
        return tl::unexpected(badRequest("Idempotency-Key is longer than 255 characters"));
    }
    if (!request->target.starts_with('/')) {
        return tl::unexpected(badRequest("the request target is not a path"));
    }
    return CallerRequest({.method = request->method,
                          .target = request->target,
                          .host = request->host,
                          .requestId = std::string(headerValue(headers, "X-Request-Id")),
                          .headers = withoutControlHeaders(headers),
                          .body = request->body,
                          .key = *key,
                          .contextToken = optionalHeader(headers, "Berylspring-Context"),
                          .timeout = *timeout,
                          .idempotencyKey = idempotencyKey,
                          .traceParent = std::string(headerValue(headers, "traceparent"))});
}

Response callerResponse(wire::CallResponse response)
{
    if (response->refusal) {
        return problemResponse(*response->refusal);
    }
    wire::CallResponseFields fields = std::move(response).release();
    return Response({.status = fields.status, .headers = std::move(fields.headers), .body = std::move(fields.body)});
}

}
