#include "berylspring/http/caller_request.h"
#include "berylspring/http/endpoint_announcement.h"
#include "berylspring/http/problem.h"
#include "support/section.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::checkProperty;
using test::section;

namespace {

http::Request requestWith(wire::Headers headers)
{
    return http::Request({.method = "GET", .target = "/visits/7?day=2", .headers = std::move(headers)});
}

}

TEST_GROUP(ACallerSendsARequest){};

TEST(ACallerSendsARequest, andItsControlFieldsDoNotReachTheEndpoint)
{
    const auto parsed = http::parseCallerRequest(requestWith({{"authorization", "bearer k1"},
                                                              {"BERYLSPRING-Context", "t"},
                                                              {"Berylspring-Timeout-Ms", "250"},
                                                              {"Idempotency-Key", "b-17"},
                                                              {"traceparent", "00-x"},
                                                              {"Accept", "text/plain"}}));
    CHECK(parsed.has_value());
    CHECK((*parsed)->key == "k1");
    CHECK((*parsed)->contextToken == "t");
    CHECK((*parsed)->timeout == 250ms);
    CHECK((*parsed)->idempotencyKey == "b-17");
    const wire::Headers expected{{"Idempotency-Key", "b-17"}, {"Accept", "text/plain"}};
    CHECK((*parsed)->headers == expected);
}

TEST(ACallerSendsARequest, andMalformedControlFieldsAreRefused)
{
    section("another scheme than Bearer", [] {
        const auto parsed = http::parseCallerRequest(requestWith({{"Authorization", "Basic eDp5"}}));
        CHECK(parsed.error().reason() == core::RefusalReason::KeyInvalid);
    });
    section("a timeout that is not a number or out of range", [] {
        for (const char *text : {"-1", "1s", "600001", "99999999999999999999"}) {
            const auto parsed = http::parseCallerRequest(requestWith({{"Berylspring-Timeout-Ms", text}}));
            CHECK(parsed.error().reason() == core::RefusalReason::BadRequest);
        }
    });
    section("an idempotency key over 255 characters", [] {
        const auto parsed = http::parseCallerRequest(requestWith({{"Idempotency-Key", std::string(256, 'k')}}));
        CHECK(parsed.error().reason() == core::RefusalReason::BadRequest);
    });
}

TEST(ACallerSendsARequest, andARefusalTellsWhatIsKnown)
{
    const core::Refusal refusal(core::RefusalReason::LimitExceeded, core::Outcome::NotRun, "over the rate");
    const http::Response response = http::problemResponse(refusal.withRetryAfter(1100ms));
    LONGS_EQUAL(429, response->status);
    CHECK(http::headerValue(response->headers, "Content-Type") == "application/problem+json");
    CHECK(http::headerValue(response->headers, "Retry-After") == "2");
    STRCMP_CONTAINS("\"outcome\":\"not-run\"", response->body.c_str());
    STRCMP_CONTAINS("\"reason\":\"limit-exceeded\"", response->body.c_str());
}

TEST(ACallerSendsARequest, andAnEndpointAnnouncesItselfInStrictJson)
{
    section("a complete announcement", [] {
        const auto parsed = http::parseAnnouncement(R"({"service":"visits","address":"127.0.0.1:80","slots":15})");
        CHECK(parsed.has_value());
        LONGS_EQUAL(15, parsed->announcement.slots);
        CHECK(parsed->coldFor == 0ms);
    });
    section("an endpoint that is cold", [] {
        const auto parsed =
            http::parseAnnouncement(R"({"service":"visits","address":"127.0.0.1:80","slots":15,"cold_ms":2500})");
        CHECK(parsed.has_value());
        CHECK(parsed->coldFor == 2500ms);
    });
    section("members that are unknown, missing or out of range", [] {
        for (const char *text : {R"({"service":"visits","address":"127.0.0.1:80","slots":15,"more":1})",
                                 R"({"service":"visits","address":"127.0.0.1:80"})",
                                 R"({"service":"visits","address":"localhost:80","slots":15})",
                                 R"({"service":"Visits","address":"127.0.0.1:80","slots":15})",
                                 R"({"service":"visits","address":"127.0.0.1:80","slots":0})",
                                 R"({"service":"visits","address":"127.0.0.1:80","slots":15,"cold_ms":-1})",
                                 R"({"service":"visits","address":"127.0.0.1:80","slots":15,"cold_ms":86400001})",
                                 R"({"service":"visits","address":"127.0.0.1:80","slots":15,"cold_ms":"3"})",
                                 "[]",
                                 ""}) {
            CHECK_FALSE(http::parseAnnouncement(text).has_value());
        }
    });
    checkProperty("no text makes the parsers throw", [](const std::string &text) {
        RC_ASSERT(!http::parseAnnouncement(text).has_value());
        RC_ASSERT(!http::parseLoadReport(text).has_value());
    });
}
