#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/time.h"
#include "berylspring/telemetry/trace_context.h"

#include <functional>
#include <string>
#include <vector>

namespace berylspring::telemetry {

struct SpanAttribute
{
    std::string name;
    std::string value;
    [[nodiscard]] bool operator==(const SpanAttribute &) const = default;
};

/** @brief One completed hop of a request. */
struct SpanFields
{
    TraceContext context;
    std::uint64_t parentSpanId = 0; ///< 0 for the root span of a trace.
    std::string name;
    core::WallTime start;
    core::WallTime end;
    bool isError = false;
    std::vector<SpanAttribute> attributes;
    [[nodiscard]] bool operator==(const SpanFields &) const = default;
};
using Span = core::Immutable<SpanFields>;

/** @brief Consumes completed spans; must not block and must be safe to call from several threads. */
using SpanSink = std::function<void(Span)>;

/**
 * @brief Encodes spans as the JSON body of an OTLP/HTTP trace export request.
 * @param host Value of the resource attribute host.name.
 */
[[nodiscard]] std::string otlpJson(const std::string &host, const std::vector<Span> &spans);

}
