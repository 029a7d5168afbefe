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

void insertHeaders(beast::http::fields &fields, const wire::Headers &headers)
{
    for (const wire::Header &header : headers) {
        if (!isNonForwardedField(beast::http::string_to_field(header.name))) {
            fields.insert(header.name, header.value);
        }
    }
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

BeastRequest toBeast(const Request &request, const std::string &host)
{
    constexpr unsigned Http11 = 11;
    BeastRequest message;
    message.version(Http11);
    message.method_string(request->method);
    message.target(request->target);
    message.set(beast::http::field::host, request->host.empty() ? host : request->host);
    insertHeaders(message, request->headers);
    message.body() = request->body;
    message.prepare_payload();
    return message;
}

BeastResponse toBeast(const Response &response, bool keepAlive)
{
    BeastResponse message;
    message.result(static_cast<unsigned>(response->status));
    insertHeaders(message, response->headers);
    message.keep_alive(keepAlive);
    message.body() = response->body;
    message.prepare_payload();
    return message;
}

}
