#include "berylspring/config/snapshot.h"
#include "config/records.h"
#include "support/section.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using config::ResourceType;
using test::checkProperty;
using test::section;

namespace {

void checkInvalid(ResourceType type, const std::string &json, const std::string &member)
{
    const auto resource = config::parseResource(type, "n", json);
    CHECK_FALSE_TEXT(resource.has_value(), json.c_str());
    STRCMP_EQUAL_TEXT(member.c_str(), resource.error().member().c_str(), json.c_str());
    CHECK_FALSE_TEXT(resource.error().range().empty(), json.c_str());
}

/** Runs all parsers on one input. They may reject it but must not crash, and accepted input must round-trip. */
void decode(const std::string &text)
{
    for (const auto type : config::ResourceTypes) {
        const auto resource = config::parseResource(type, "n", text);
        if (resource) {
            RC_ASSERT(config::parseResource(type, "n", config::toJson(*resource)) == *resource);
        }
    }
    const auto record = config::parseLogRecord(text);
    if (record) {
        RC_ASSERT(*config::parseLogRecord(config::toJson(*record)) == *record);
    }
    const auto catalogue = config::Catalogue::fromJson(text);
    if (catalogue) {
        RC_ASSERT(config::Catalogue::fromJson(catalogue->toJson()).has_value());
    }
    config::SnapshotAssembler assembler;
    assembler.add(text);
    (void)test::startedCatalogue().withRecord(1, text);
}

std::string mutated(std::string text)
{
    const auto changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text.erase(place, *rc::gen::inRange<std::size_t>(1, 6));
            break;
        case 1:
            text.insert(place,
                        *rc::gen::element<std::string>("\"", "{", "}", "[", "]", "-1", "1e999", "null", ":", ","));
            break;
        default:
            text[place] = *rc::gen::arbitrary<char>();
        }
    }
    return text;
}

}

TEST_GROUP(InputIsReadStrictly){};

TEST(InputIsReadStrictly, withTheMemberTheValueAndTheRangeInEachError)
{
    section("malformed documents are rejected", [] {
        for (const char *text : {"", "{", "[]", "1", "null", "{}{}"}) {
            checkInvalid(ResourceType::Workspace, text, "");
        }
    });
    section("unknown, missing and out-of-range members are rejected", [] {
        checkInvalid(ResourceType::Workspace, R"({"colour":1})", "colour");
        checkInvalid(ResourceType::Workspace, R"({"name":"other"})", "name");
        checkInvalid(ResourceType::Workspace, R"({"weight":0})", "weight");
        checkInvalid(ResourceType::Workspace, R"({"weight":"1"})", "weight");
        checkInvalid(ResourceType::Workspace, R"({"staleness":"maybe"})", "staleness");
        checkInvalid(ResourceType::Workspace, R"({"staleness_limit_s":1.5})", "staleness_limit_s");
        checkInvalid(ResourceType::Key, R"({"workspace":"A","digest":"00"})", "workspace");
        checkInvalid(ResourceType::Key, R"({"workspace":"a","digest":"00"})", "digest");
        checkInvalid(ResourceType::Key, R"({"workspace":"a"})", "digest");
        checkInvalid(ResourceType::Limit, R"({"workspace":"a","rate":1000,"burst":9})", "burst");
        checkInvalid(ResourceType::Limit, R"({"workspace":"a","rate":0,"burst":9})", "rate");
        checkInvalid(ResourceType::Priority, R"({"level":8})", "level");
        checkInvalid(ResourceType::Priority, R"({"level":-1})", "level");
        for (const char *prefix : {"", "a", "/a/", "//", "/a//b", "/../a", "/a b", "/a%20", "/a?b"}) {
            checkInvalid(ResourceType::Route,
                         R"({"service":"s","priority":"p","prefix":")" + std::string(prefix) + "\"}",
                         "prefix");
        }
        checkInvalid(
            ResourceType::Route, R"({"service":"s","priority":"p","prefix":"/","timeout_ms":0})", "timeout_ms");
        checkInvalid(ResourceType::RequestLimits, "{}", "name");
        checkInvalid(ResourceType::Route,
                     R"({"service":"s","priority":"p","prefix":"/","idempotency":{"post":true}})",
                     "idempotency");
    });
    section("an invalid resource name is rejected",
            [] { CHECK_FALSE(config::parseResource(ResourceType::Workspace, "A", "{}").has_value()); });
    section("omitted members of a route have defaults", [] {
        const auto route = std::get<config::Route>(*config::parseResource(
            ResourceType::Route, "n", R"({"service":"s","priority":"p","prefix":"/","idempotency":{"POST":true}})"));
        LONGS_EQUAL(2, route->retries);
        CHECK_FALSE(route->isOpen);
        CHECK_TRUE(config::isIdempotent(route, "POST"));
        CHECK_TRUE(config::isIdempotent(route, "PUT"));
        CHECK_FALSE(config::isIdempotent(route, "PATCH"));
    });
    section("request limits have defaults and ranges", [] {
        const auto parsed = config::parseResource(ResourceType::RequestLimits, "default", R"({"idle_timeout_ms":7})");
        const auto limits = std::get<config::RequestLimits>(*parsed);
        CHECK_TRUE(limits->idleTimeout == std::chrono::milliseconds(7));
        CHECK_TRUE(limits->headerTimeout == std::chrono::seconds(10));
        CHECK_FALSE(
            config::parseResource(ResourceType::RequestLimits, "default", R"({"max_header_bytes":1})").has_value());
    });
}

TEST(InputIsReadStrictly, whateverTheBytesAre)
{
    checkProperty("arbitrary text is rejected or round-trips", [](const std::string &text) { decode(text); });
    checkProperty("mutated valid text is rejected or round-trips", [] {
        const auto catalogue = test::folded(
            test::startedCatalogue(),
            {test::putRecord("w", ResourceType::Workspace, "w", "{}"),
             test::putRecord("k", ResourceType::Key, "k", test::keyBody("w", "s")),
             test::putRecord("p", ResourceType::Priority, "p", R"({"level":1})"),
             test::putRecord(
                 "r", ResourceType::Route, "r", R"({"service":"s","priority":"p","prefix":"/","timeout_ms":5})")});
        const auto text = *rc::gen::element(catalogue.toJson(),
                                            config::toSnapshotRecords(catalogue, "s").front(),
                                            catalogue.resource(ResourceType::Route, "r")->json,
                                            catalogue.resource(ResourceType::Workspace, "w")->json,
                                            test::putRecord("k", ResourceType::Key, "k", test::keyBody("w", "s"), 3));
        decode(mutated(text));
    });
}
