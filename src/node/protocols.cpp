#include "berylspring/node/protocols.h"

#include "berylspring/eventlog/http_log.h"
#include "http/address.h"

namespace berylspring::node {

namespace {

http::Request endpointRequest(const EndpointCall &call)
{
    const wire::CallRequest &request = call.request;
    wire::Headers headers = request->headers;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(request->remaining).count();
    headers.push_back({"Berylspring-Context", call.contextToken});
    headers.push_back({"Berylspring-Timeout-Ms", std::to_string(milliseconds)});
    headers.push_back({"traceparent", call.traceParent});
    return http::Request(
        {.method = request->method, .target = request->target, .headers = std::move(headers), .body = request->body});
}

eventlog::LogHooks makeLog(const boost::asio::any_io_executor &executor, const Settings &settings)
{
    const auto endpoint = http::detail::parseAddress(settings->logAddress);
    const std::string ip = endpoint ? endpoint->address().to_string() : settings->logAddress;
    return eventlog::makeHttpLog(executor, ip, endpoint ? endpoint->port() : 0);
}

}

Protocols nativeProtocols()
{
    return {.decodeCall = [](http::Request request) { return http::parseCallerRequest(std::move(request)); },
            .encodeResponse = [](const wire::CallResponse &response,
                                 const http::Request &) { return http::callerResponse(response); },
            .encodeEndpointCall = endpointRequest,
            .decodeEndpointResponse =
                [](const http::Response &response) {
                    return wire::CallResponse(
                        {.status = response->status, .headers = response->headers, .body = response->body});
                },
            .isAnswerTo = [](const http::Request &, const http::Response &) { return true; },
            .allowsReuse = [](const http::Response &) { return true; },
            .handleEndpoint = handleEndpointRequest,
            .makeLog = makeLog,
            .readinessPath = "/readyz"};
}

}
