#include "integration/harness/operator_api.h"

#include "berylspring/core/digest.h"
#include "integration/harness/process.h"

#include <stdexcept>

#include <boost/json.hpp>

namespace berylspring::test {

namespace json = boost::json;

namespace {

constexpr std::uint16_t ServiceUnavailable = 503;

std::string describe(const http::Result<http::Response> &response)
{
    return response ? std::to_string((*response)->status) + " " + (*response)->body : response.error().detail();
}

std::uint64_t numberOf(const json::value &value, std::string_view name)
{
    const json::object *object = value.if_object();
    const json::value *member = object == nullptr ? nullptr : object->if_contains(name);
    if (member == nullptr || !member->is_number()) {
        throw std::runtime_error("missing number " + std::string(name) + " in " + json::serialize(value));
    }
    return member->to_number<std::uint64_t>();
}

}

OperatorApi::OperatorApi(HttpCalls &calls, std::string token)
    : m_calls(calls)
    , m_token(std::move(token))
{
}

http::Result<http::Response> OperatorApi::send(
    std::uint16_t port, std::string method, std::string target, std::string body, const std::string &ifMatch)
{
    wire::Headers headers{{"Authorization", "Bearer " + m_token}};
    if (!ifMatch.empty()) {
        headers.push_back({"If-Match", ifMatch});
    }
    const http::Request request({.method = std::move(method),
                                 .target = std::move(target),
                                 .headers = std::move(headers),
                                 .body = std::move(body)});
    return m_calls.send(port, request, DefaultTimeout);
}

core::Offset
OperatorApi::put(std::uint16_t port, const std::string &type, const std::string &name, const json::object &body)
{
    return change(port, "PUT", "/v1/" + type + "/" + name, json::serialize(body));
}

core::Offset OperatorApi::remove(std::uint16_t port, const std::string &type, const std::string &name)
{
    return change(port, "DELETE", "/v1/" + type + "/" + name, {});
}

core::Offset OperatorApi::createKey(std::uint16_t port,
                                    const std::string &name,
                                    const std::string &workspace,
                                    const std::string &key)
{
    return put(port, "keys", name, {{"workspace", workspace}, {"digest", core::sha256(key).toHex()}});
}

void OperatorApi::waitUntilInForce(std::uint16_t port, core::Offset change, std::size_t nodes)
{
    std::string last;
    const auto isInForce = [&] {
        const auto response = send(port, "GET", "/v1/changes/" + std::to_string(change));
        last = describe(response);
        return response && (*response)->status == 200 && numberOf(json::parse((*response)->body), "holding") >= nodes;
    };
    if (!waitUntil(isInForce)) {
        throw std::runtime_error("change " + std::to_string(change) + " is not in force on " + std::to_string(nodes)
                                 + " nodes: " + last);
    }
}

core::Offset
OperatorApi::change(std::uint16_t port, const std::string &method, const std::string &target, std::string body)
{
    http::Result<http::Response> response = send(port, method, target, body);
    waitUntil([&] {
        if (response && (*response)->status == ServiceUnavailable) {
            response = send(port, method, target, body);
        }
        return !response || (*response)->status != ServiceUnavailable;
    });
    if (!response || (*response)->status >= 300) {
        throw std::runtime_error(method + " " + target + ": " + describe(response));
    }
    return numberOf(json::parse((*response)->body), "change");
}

}
