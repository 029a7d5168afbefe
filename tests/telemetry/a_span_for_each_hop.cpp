#include "berylspring/core/types.h"
#include "berylspring/telemetry/metrics.h"
#include "berylspring/telemetry/span.h"
#include "berylspring/telemetry/span_buffer.h"
#include "berylspring/telemetry/trace_context.h"
#include "support/section.h"

#include <string>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using telemetry::TraceContext;
using test::checkProperty;
using test::section;

TEST_GROUP(ASpanForEachHop)
{
    core::RandomSource random = core::systemRandom();
};

TEST(ASpanForEachHop, carriesItsTraceThroughTraceparent)
{
    const TraceContext root = TraceContext::root(random, 1.0);
    CHECK(TraceContext::fromTraceParent(root.traceParent()) == root);
    const TraceContext child = root.child(random);
    CHECK(child.traceId() == root.traceId());
    CHECK(child.spanId() != root.spanId());
    section("malformed fields yield no context", [] {
        for (const char *text : {"",
                                 "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
                                 "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                 "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                                 "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                                 "00-0af7651916cd43dd8448eb211c80319g-b7ad6b7169203331-01"}) {
            CHECK_FALSE(TraceContext::fromTraceParent(text).has_value());
        }
    });
    checkProperty("no text makes the parser throw",
                  [](const std::string &text) { RC_ASSERT(!TraceContext::fromTraceParent(text).has_value()); });
}

TEST(ASpanForEachHop, isExportedAsOtlpJson)
{
    const TraceContext context = TraceContext::root(random, 1.0);
    const telemetry::Span span(
        {.context = context, .parentSpanId = 7, .name = "queue", .attributes = {{"route", "visits"}}});
    const auto json = boost::json::parse(telemetry::otlpJson("a1", {span}));
    const auto &encoded = json.at_pointer("/resourceSpans/0/scopeSpans/0/spans/0");
    CHECK(encoded.at("traceId").as_string() == context.traceIdText());
    CHECK(encoded.at("parentSpanId").as_string() == "0000000000000007");
    CHECK(encoded.at("name").as_string() == "queue");
}

TEST(ASpanForEachHop, isDroppedAndCountedWhenTheBufferIsFull)
{
    constexpr std::size_t Capacity = telemetry::SpanBuffer::ShardCount * telemetry::SpanBuffer::SpansPerShard;
    telemetry::SpanBuffer buffer;
    for (std::size_t i = 0; i < Capacity + 3; ++i) {
        buffer.add(telemetry::Span({.context = TraceContext({1, 1}, i % Capacity, true)}));
    }
    LONGS_EQUAL(3, buffer.dropped());
    LONGS_EQUAL(Capacity, buffer.takeAll().size());
    LONGS_EQUAL(0, buffer.takeAll().size());
}

TEST(ASpanForEachHop, isCountedInTheMetricsToo)
{
    telemetry::Metrics metrics;
    metrics.countRequest(core::Outcome::NotRun, core::RefusalReason::LimitExceeded, 3);
    metrics.observe(telemetry::Hop::Queue, std::chrono::milliseconds(3));
    metrics.addSource([] { return std::vector<telemetry::Sample>{{"berylspring_members", 4, {{"state", "alive"}}}}; });
    const std::string text = metrics.text();
    STRCMP_CONTAINS("berylspring_requests_total{outcome=\"not-run\",priority=\"3\",reason=\"limit-exceeded\"} 1",
                    text.c_str());
    STRCMP_CONTAINS("berylspring_hop_seconds_bucket{hop=\"queue\",le=\"0.005\"} 1", text.c_str());
    STRCMP_CONTAINS("berylspring_members{state=\"alive\"} 4", text.c_str());
}
