#include "berylspring/telemetry/span.h"

#include <boost/json.hpp>

namespace berylspring::telemetry {

namespace {

constexpr int SpanKindInternal = 1;
constexpr int StatusOk = 1;
constexpr int StatusError = 2;

std::string nanosText(core::WallTime time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

boost::json::object attributeJson(const SpanAttribute &attribute)
{
    return {{"key", attribute.name}, {"value", {{"stringValue", attribute.value}}}};
}

boost::json::object spanJson(const Span &span)
{
    boost::json::array attributes;
    for (const SpanAttribute &attribute : span->attributes) {
        attributes.push_back(attributeJson(attribute));
    }
    boost::json::object json{
        {"traceId", span->context.traceIdText()},
        {"spanId", span->context.spanIdText()},
        {"name", span->name},
        {"kind", SpanKindInternal},
        {"startTimeUnixNano", nanosText(span->start)},
        {"endTimeUnixNano", nanosText(span->end)},
        {"attributes", std::move(attributes)},
        {"status", {{"code", span->isError ? StatusError : StatusOk}}},
    };
    if (span->parentSpanId != 0) {
        json["parentSpanId"] = TraceContext({}, span->parentSpanId, false).spanIdText();
    }
    return json;
}

}

std::string otlpJson(const std::string &host, const std::vector<Span> &spans)
{
    boost::json::array encoded;
    for (const Span &span : spans) {
        encoded.push_back(spanJson(span));
    }
    const boost::json::array resourceAttributes{
        attributeJson({"service.name", "berylspring"}),
        attributeJson({"host.name", host}),
    };
    const boost::json::object scope{{"scope", {{"name", "berylspring"}}}, {"spans", std::move(encoded)}};
    const boost::json::object resource{
        {"resource", {{"attributes", resourceAttributes}}},
        {"scopeSpans", boost::json::array{scope}},
    };
    return boost::json::serialize(boost::json::object{{"resourceSpans", boost::json::array{resource}}});
}

}
