#include "berylspring/node/protocols.h"

#include "berylspring/eventlog/http_log.h"
#include "http/address.h"

namespace berylspring::node {

namespace {

http::Request endpointRequest(EndpointCall call)
{
    wire::CallRequestFields request = std::move(call.request).release();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(request.remaining).count();
    request.headers.push_back({"Berylspring-Context", std::move(call.contextToken)});
    request.headers.push_back({"Berylspring-Timeout-Ms", std::to_string(milliseconds)});
    request.headers.push_back({"traceparent", std::move(call.traceParent)});
    return http::Request({.method = std::move(request.method),
                          .target = std::move(request.target),
                          .headers = std::move(request.headers),
                          .body = std::move(request.body)});
}

wire::CallResponse endpointResponse(http::Response response)
{
    http::ResponseFields fields = std::move(response).release();
    return wire::CallResponse(
        {.status = fields.status, .headers = std::move(fields.headers), .body = std::move(fields.body)});
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
            .encodeResponse = [](wire::CallResponse response,
                                 const http::Request &) { return http::callerResponse(std::move(response)); },
            .encodeEndpointCall = endpointRequest,
            .decodeEndpointResponse = endpointResponse,
            .isAnswerTo = [](const http::Request &, const http::Response &) { return true; },
            .allowsReuse = [](const http::Response &) { return true; },
            .handleEndpoint = handleEndpointRequest,
            .makeLog = makeLog,
            .readinessPath = "/readyz"};
}

}
