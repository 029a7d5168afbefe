#include "platform/caller_codec.h"
#include "platform/endpoint_codec.h"
#include "support/section.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;

namespace {

using core::Outcome;
using core::RefusalReason;

const core::ServiceId OwnService("visits");

http::Request callerRequest()
{
    return http::Request({.method = "GET",
                          .target = "/past/2f?x=1",
                          .host = "visits.example",
                          .headers = {{"Berylspring-Request-Id", "r-1"},
                                      {"Berylspring-Deadline-Ms", "1500"},
                                      {"Berylspring-Key", "secret"},
                                      {"Berylspring-Tenant", "forged"},
                                      {"Berylspring-Caller-Service", "forged"},
                                      {"Berylspring-Target-Instance", "forged"},
                                      {"X-Other", "kept"}}});
}

std::string field(const wire::Headers &headers, std::string_view name)
{
    return std::string(http::headerValue(headers, name));
}

http::Response refusalFor(RefusalReason reason, Outcome outcome)
{
    const core::Refusal refusal = core::Refusal(reason, outcome).withRetryAfter(std::chrono::milliseconds(1250));
    return platform::encodeResponse(wire::CallResponse({.refusal = refusal}), callerRequest());
}

}

TEST_GROUP(ARequestThroughTheAdapter){};

// Guards against leaking a key to an endpoint, and against forged control fields of a caller.
TEST(ARequestThroughTheAdapter, reachesTheEndpointWithTrustedControlFieldsOnly)
{
    const auto call = platform::decodeCall(callerRequest(), OwnService);
    CHECK_TRUE(call.has_value());
    CHECK_TRUE((*call)->key == "secret");
    CHECK_TRUE((*call)->timeout == std::chrono::milliseconds(1500));
    STRCMP_EQUAL("r-1", (*call)->requestId.c_str());
    const wire::CallRequest request({.method = (*call)->method,
                                     .target = (*call)->target,
                                     .headers = (*call)->headers,
                                     .workspace = core::WorkspaceId("garden"),
                                     .remaining = std::chrono::milliseconds(900)});
    const http::Request sent = platform::encodeEndpointCall({request, "i-7", "token", "trace"});
    STRCMP_EQUAL("/past/2f?x=1", sent->target.c_str());
    STRCMP_EQUAL("visits.example", sent->host.c_str());
    STRCMP_EQUAL("r-1", field(sent->headers, "Berylspring-Request-Id").c_str());
    STRCMP_EQUAL("900", field(sent->headers, "Berylspring-Deadline-Ms").c_str());
    STRCMP_EQUAL("garden", field(sent->headers, "Berylspring-Tenant").c_str());
    STRCMP_EQUAL("visits", field(sent->headers, "Berylspring-Caller-Service").c_str());
    STRCMP_EQUAL("i-7", field(sent->headers, "Berylspring-Target-Instance").c_str());
    STRCMP_EQUAL("kept", field(sent->headers, "X-Other").c_str());
    STRCMP_EQUAL("", field(sent->headers, "Berylspring-Key").c_str());
}

TEST(ARequestThroughTheAdapter, isRefusedWithoutAnId)
{
    const http::Request request({.method = "GET", .target = "/past/2f"});
    CHECK_TRUE(platform::decodeCall(request, OwnService).error().reason() == RefusalReason::BadRequest);
    const http::Request negative =
        callerRequest().with(&http::RequestFields::headers,
                             wire::Headers{{"Berylspring-Request-Id", "r-1"}, {"Berylspring-Deadline-Ms", "-5"}});
    CHECK_TRUE(platform::decodeCall(negative, OwnService).error().reason() == RefusalReason::BadRequest);
}

// Guards against a status that guarantees not-run when the outcome is unknown.
TEST(ARequestThroughTheAdapter, isAnsweredWithAStatusThatMatchesItsOutcome)
{
    section("a request that may have run gets 502 or 504", [] {
        LONGS_EQUAL(504, refusalFor(RefusalReason::DeadlineExceeded, Outcome::Unknown)->status);
        for (const auto reason : {RefusalReason::Overloaded,
                                  RefusalReason::ConnectionLost,
                                  RefusalReason::Cancelled,
                                  RefusalReason::LimitExceeded,
                                  RefusalReason::KeyInvalid}) {
            LONGS_EQUAL(502, refusalFor(reason, Outcome::Unknown)->status);
        }
    });
    section("a request that has not run gets 429 or 503", [] {
        LONGS_EQUAL(429, refusalFor(RefusalReason::LimitExceeded, Outcome::NotRun)->status);
        for (const auto reason : {RefusalReason::Overloaded,
                                  RefusalReason::NotReady,
                                  RefusalReason::DeadlineExceeded,
                                  RefusalReason::ConnectionLost,
                                  RefusalReason::Draining,
                                  RefusalReason::NoEndpoint}) {
            LONGS_EQUAL(503, refusalFor(reason, Outcome::NotRun)->status);
        }
    });
    section("Retry-After has fractions of a second", [] {
        const http::Response response = refusalFor(RefusalReason::Overloaded, Outcome::NotRun);
        STRCMP_EQUAL("1.250", field(response->headers, "Retry-After").c_str());
        STRCMP_EQUAL("", field(response->headers, "Berylspring-Response-Stamp").c_str());
    });
}

// Guards against passing a response that the endpoint did not send to the caller as a success.
TEST(ARequestThroughTheAdapter, getsNoSuccessThatTheEndpointDidNotSend)
{
    const wire::Headers own{{"Berylspring-Request-Id", "r-1"}, {"Berylspring-Response-Stamp", "stamp"}};
    const auto decoded = [](std::uint16_t status, wire::Headers headers) {
        return platform::decodeEndpointResponse(http::Response({.status = status, .headers = std::move(headers)}));
    };
    section("a success needs a signature, a request id and an unencoded body", [&] {
        CHECK_TRUE(decoded(200, own).has_value());
        CHECK_TRUE(decoded(200, {}).error().outcome() == Outcome::Unknown);
        CHECK_TRUE(decoded(200, {own[0]}).error().outcome() == Outcome::Unknown);
        wire::Headers encoded = own;
        encoded.push_back({"Content-Encoding", "gzip"});
        CHECK_TRUE(decoded(200, encoded).error().outcome() == Outcome::Unknown);
    });
    section("a failure of the endpoint is passed on", [&] { LONGS_EQUAL(500, (*decoded(500, own))->status); });
    section("only an explicit field or status 421 means that the request has not run", [&] {
        CHECK_TRUE(decoded(503, own).has_value());
        CHECK_TRUE(decoded(503, {own[0], {"Berylspring-Not-Executed", "1"}}).error().outcome() == Outcome::NotRun);
        CHECK_TRUE(decoded(421, {own[0]}).error().outcome() == Outcome::NotRun);
    });
    section("and only with the id of the request", [&] {
        CHECK_TRUE(decoded(503, {{"Berylspring-Not-Executed", "1"}}).error().outcome() == Outcome::Unknown);
        CHECK_TRUE(decoded(421, {}).error().outcome() == Outcome::Unknown);
    });
    section("a response with the id of another request is not accepted", [&] {
        const http::Response late({.status = 200, .headers = {{"Berylspring-Request-Id", "r-0"}}});
        CHECK_FALSE(platform::isAnswerTo(callerRequest(), late));
        CHECK_TRUE(platform::isAnswerTo(callerRequest(), http::Response({.status = 503})));
    });
}

// Guards against a final status of unknown origin: a caller does not repeat a request after a 3xx or 4xx.
TEST(ARequestThroughTheAdapter, getsNoFailureThatTheEndpointDidNotSend)
{
    const wire::Header id{"Berylspring-Request-Id", "r-1"};
    const wire::Header stamp{"Berylspring-Response-Stamp", "stamp"};
    const auto decoded = [](std::uint16_t status, wire::Headers headers) {
        return platform::decodeEndpointResponse(http::Response({.status = status, .headers = std::move(headers)}));
    };
    for (const std::uint16_t status : {302, 400, 404, 413, 429, 500, 503, 504}) {
        section("status " + std::to_string(status), [&] {
            for (const wire::Headers &headers : {wire::Headers{}, wire::Headers{id}, wire::Headers{stamp}}) {
                CHECK_TRUE(decoded(status, headers).error().outcome() == Outcome::Unknown);
                CHECK_TRUE(decoded(status, headers).error().reason() == RefusalReason::ConnectionLost);
            }
            LONGS_EQUAL(status, (*decoded(status, {id, stamp}))->status);
        });
    }
    section("an informational response does not end the exchange", [&] {
        for (const std::uint16_t status : {100, 102, 103}) {
            CHECK_FALSE(platform::isAnswerTo(callerRequest(), http::Response({.status = status, .headers = {id}})));
        }
    });
}

// Guards against a connection that carries another request after a response that the endpoint may write again.
TEST(ARequestThroughTheAdapter, leavesTheConnectionToOthersAfterASignedAnswerOnly)
{
    const wire::Headers own{{"Berylspring-Request-Id", "r-1"}, {"Berylspring-Response-Stamp", "stamp"}};
    const auto allowsReuse = [](std::uint16_t status, wire::Headers headers) {
        return platform::allowsReuse(http::Response({.status = status, .headers = std::move(headers)}));
    };
    CHECK_TRUE(allowsReuse(200, own));
    CHECK_TRUE(allowsReuse(500, own));
    CHECK_FALSE(allowsReuse(200, {own[0]}));
    CHECK_FALSE(allowsReuse(404, {own[1]}));
    CHECK_FALSE(allowsReuse(421, own));
    CHECK_FALSE(allowsReuse(503, {own[0], own[1], {"Berylspring-Not-Executed", "1"}}));
}

// Guards against a load header that is cut or wrong and changes the routing, and against one that is not passed on.
TEST(ARequestThroughTheAdapter, tellsThePaceOfItsEndpoint)
{
    const std::string odd[] = {"",
                               "12,0,15",
                               "12,0,15,",
                               "12,0,15,0",
                               "12,0,15,-100",
                               "12,0,15,100,1",
                               "12,0,15, 100",
                               "12,0,15,100 ",
                               "12,0,15,1e2",
                               "12,0,15,10001",
                               "12,,15,100",
                               "12,0,15,99999999999999999999"};
    for (const std::string &load : odd) {
        DOUBLES_EQUAL_TEXT(0, platform::decodePace(load), 0, load.c_str());
    }
    const auto response =
        platform::decodeEndpointResponse(http::Response({.status = 200,
                                                         .headers = {{"Berylspring-Request-Id", "r"},
                                                                     {"Berylspring-Response-Stamp", "s"},
                                                                     {"Berylspring-Server-Load", "12,0,15,250"}}}));
    DOUBLES_EQUAL(2.5, (*response)->pace, 1e-9);
    STRCMP_EQUAL("12,0,15,250", field((*response)->headers, "Berylspring-Server-Load").c_str());
}
