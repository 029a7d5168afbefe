#include "tools/common/response_body.h"

#include "berylspring/core/digest.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

namespace berylspring::tools {

namespace {

constexpr double MaxPaddingBytes = 16.0 * 1024 * 1024;

std::size_t paddingSize(const std::string &target)
{
    return static_cast<std::size_t>(std::clamp(queryNumber(target, "size", 0), 0.0, MaxPaddingBytes));
}

std::string stringMember(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

}

std::string requestDigest(const http::Request &request)
{
    return core::sha256(request->method + '\n' + request->target + '\n' + request->body).toHex();
}

std::string makePadding(const std::string &digest, std::size_t size)
{
    std::string padding;
    padding.reserve(size + digest.size());
    while (!digest.empty() && padding.size() < size) {
        padding += digest;
    }
    padding.resize(size);
    return padding;
}

std::string responseBody(const std::string &service, const http::Request &request)
{
    const std::string digest = requestDigest(request);
    return boost::json::serialize(boost::json::object{{"service", service},
                                                      {"digest", digest},
                                                      {"text", request->body},
                                                      {"padding", makePadding(digest, paddingSize(request->target))}});
}

std::optional<std::string> mismatch(const http::Request &request, const http::Response &response)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(response->body, error);
    if (error || !value.is_object()) {
        return "the answer is not a JSON object: " + response->body.substr(0, 200);
    }
    const boost::json::object &object = value.as_object();
    const std::string digest = requestDigest(request);
    if (stringMember(object, "digest") != digest) {
        return "the answer is for another request than " + request->method + " " + request->target;
    }
    if (stringMember(object, "text") != request->body) {
        return std::string("the text in the answer is not the body sent");
    }
    if (stringMember(object, "padding") != makePadding(digest, paddingSize(request->target))) {
        return std::string("the padding of the answer is cut or altered");
    }
    return std::nullopt;
}

double queryNumber(const std::string &target, const std::string &name, double fallback)
{
    const std::string text = http::queryParameter(target, name);
    double number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return text.empty() || result.ec != std::errc{} ? fallback : number;
}

}
