#include "integration/harness/fleet.h"
#include "support/section.h"

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;

namespace {

const std::string TraceId = "0af7651916cd43dd8448eb211c80319c";

/** @return Names of the spans of the trace in a file of OTLP JSON lines; an incomplete last line is skipped. */
std::multiset<std::string> spanNames(const std::string &file)
{
    std::multiset<std::string> names;
    std::ifstream lines(file);
    for (std::string line; std::getline(lines, line);) {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(line, error);
        if (error) {
            continue;
        }
        for (const auto &span : value.at_pointer("/resourceSpans/0/scopeSpans/0/spans").as_array()) {
            if (span.at("traceId").as_string() == TraceId) {
                names.insert(boost::json::value_to<std::string>(span.at("name")));
            }
        }
    }
    return names;
}

}

TEST_GROUP(ATraceHasASpanForEachHop){};

// Guards against hops missing from a trace, and against a nested call that starts a separate trace.
TEST(ATraceHasASpanForEachHop, fromTheEntryToTheDeepestEndpoint)
{
    const test::TemporaryDirectory directory;
    const std::string file = directory.file("spans.jsonl");
    test::Fleet fleet(test::FleetConfig({.dataCentres = {"dc-a"},
                                         .endpoints = {{.service = "front"}, {.service = "deep"}},
                                         .extraSettings = "[traces]\nfile = " + file + "\nsample_ratio = 0\n"}));
    fleet.addWorkspace("tenant", 1000, 100);
    fleet.addRoute("front", {{"prefix", "/front"}, {"service", "front"}}, 3);
    fleet.addRoute("deep", {{"prefix", "/deep"}, {"service", "deep"}}, 3);
    fleet.waitUntilServing({"/front", "/deep"}, "key-tenant");
    section("a sampled call with one nested call", [&] {
        const http::Request request({.method = "GET",
                                     .target = "/front/x?nested=/deep/y",
                                     .headers = {{"Authorization", "Bearer key-tenant"},
                                                 {"traceparent", "00-" + TraceId + "-b7ad6b7169203331-01"}}});
        const auto response = fleet.calls().send(fleet.node(0).callerPort, request, test::DefaultTimeout);
        CHECK(response.has_value());
        LONGS_EQUAL(200, (*response)->status);
    });
    section("has two spans each for entry, hop, queue and endpoint, and no others", [&] {
        const std::multiset<std::string> expected{
            "endpoint", "endpoint", "entry", "entry", "hop", "hop", "queue", "queue"};
        CHECK(test::waitUntil([&] { return spanNames(file) == expected; }));
    });
}
