#include "berylspring/node/endpoint_api.h"

#include "berylspring/http/problem.h"

namespace berylspring::node {

namespace {

http::Response accepted()
{
    return http::jsonResponse(200, R"({"status":"ok"})");
}

http::Response handleAnnouncement(const http::Request &request, const EndpointApiHooks &hooks)
{
    if (request->method == "DELETE") {
        hooks.leave({});
        return accepted();
    }
    if (request->method != "PUT") {
        return http::problemResponse(405, "method-not-allowed", "PUT or DELETE");
    }
    const auto heartbeat = http::parseAnnouncement(request->body);
    if (!heartbeat) {
        return http::problemResponse(400, "invalid", heartbeat.error());
    }
    hooks.heartbeat(*heartbeat);
    return accepted();
}

http::Response handleLoadReport(const http::Request &request, const EndpointApiHooks &hooks)
{
    if (request->method != "PUT") {
        return http::problemResponse(405, "method-not-allowed", "PUT");
    }
    const auto report = http::parseLoadReport(request->body);
    if (!report) {
        return http::problemResponse(400, "invalid", report.error());
    }
    hooks.reportLoad(*report);
    return accepted();
}

}

http::Response handleEndpointRequest(const http::Request &request, const EndpointApiHooks &hooks)
{
    const std::string_view path = http::pathOf(request->target);
    if (path == "/v1/endpoint") {
        return handleAnnouncement(request, hooks);
    }
    if (path == "/v1/endpoint/load") {
        return handleLoadReport(request, hooks);
    }
    return http::problemResponse(404, "not-found", "no such path");
}

}
