#include "http/beast_convert.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>

namespace berylspring::http::detail {

namespace {

namespace beast = boost::beast;

/**
 * Hop-by-hop fields, which are not forwarded (RFC 9110, section 7.6.1). Content-Length and Host are set anew for each
 * message.
 */
constexpr std::array<beast::http::field, 9> NonForwardedFields{
    beast::http::field::connection,
    beast::http::field::keep_alive,
    beast::http::field::proxy_connection,
    beast::http::field::te,
    beast::http::field::trailer,
    beast::http::field::transfer_encoding,
    beast::http::field::upgrade,
    beast::http::field::content_length,
    beast::http::field::host,
};

bool isNonForwardedField(beast::http::field field) noexcept
{
    return std::find(NonForwardedFields.begin(), NonForwardedFields.end(), field) != NonForwardedFields.end();
}

wire::Headers headersOf(const beast::http::fields &fields)
{
    wire::Headers headers;
    for (const auto &field : fields) {
        if (!isNonForwardedField(field.name())) {
            headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
    }
    return headers;
}

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

void appendFields(std::string &text, const wire::Headers &headers)
{
    for (const wire::Header &header : headers) {
        if (!isNonForwardedField(beast::http::string_to_field(header.name))) {
            appendField(text, header.name, header.value);
        }
    }
}

void appendEnd(std::string &text, const std::string &body, bool hasLength)
{
    if (hasLength) {
        appendField(text, "Content-Length", std::to_string(body.size()));
    }
    text.append("\r\n");
}

/** @return Upper estimate of the size of a head with these fields, so that the text does not grow. */
std::size_t reservedBytes(const wire::Headers &headers, std::size_t targetBytes)
{
    constexpr std::size_t BaseBytes = 256;
    constexpr std::size_t SeparatorBytes = 4;
    std::size_t bytes = BaseBytes + targetBytes;
    for (const wire::Header &header : headers) {
        bytes += header.name.size() + header.value.size() + SeparatorBytes;
    }
    return bytes;
}

bool allowsBody(std::uint16_t status) noexcept
{
    constexpr std::uint16_t FirstSuccess = 200;
    constexpr std::uint16_t NoContent = 204;
    constexpr std::uint16_t NotModified = 304;
    return status >= FirstSuccess && status != NoContent && status != NotModified;
}

}

Request fromBeast(BeastRequest &&message)
{
    return Request({.method = std::string(message.method_string()),
                    .target = std::string(message.target()),
                    .host = std::string(message[beast::http::field::host]),
                    .headers = headersOf(message),
                    .body = std::move(message.body())});
}

Response fromBeast(BeastResponse &&message)
{
    return Response({.status = static_cast<std::uint16_t>(message.result_int()),
                     .headers = headersOf(message),
                     .body = std::move(message.body())});
}

std::string serializeHead(const Request &request, const std::string &host)
{
    std::string text;
    text.reserve(reservedBytes(request->headers, request->target.size()));
    text.append(request->method).append(" ").append(request->target).append(" HTTP/1.1\r\n");
    appendField(text, "Host", request->host.empty() ? host : request->host);
    appendFields(text, request->headers);
    const bool hasPayload = request->method == "POST" || request->method == "PUT" || request->method == "OPTIONS";
    appendEnd(text, request->body, hasPayload || !request->body.empty());
    return text;
}

std::string serializeHead(const Response &response, bool keepAlive)
{
    std::string text;
    text.reserve(reservedBytes(response->headers, 0));
    const auto reason = beast::http::obsolete_reason(beast::http::int_to_status(response->status));
    text.append("HTTP/1.1 ").append(std::to_string(response->status)).append(" ");
    text.append(reason.data(), reason.size()).append("\r\n");
    appendFields(text, response->headers);
    if (!keepAlive) {
        appendField(text, "Connection", "close");
    }
    appendEnd(text, response->body, allowsBody(response->status));
    return text;
}

std::string_view bodyOf(const Response &response) noexcept
{
    return allowsBody(response->status) ? std::string_view(response->body) : std::string_view();
}

}
