#include "berylspring/config/catalogue.h"
#include "platform/config_document.h"
#include "support/section.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;

namespace {

const std::string Document = R"({"Version":7,
    "Services":[{"Name":"history","HealthPath":"/health","MaxConnections":472,"Protocol":"h1","Tls":false}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
    "Tenants":[{"Name":"garden","ApiKeys":["first-key","second-key"],"Priority":1,"RatePerS":63,"Burst":63},
               {"Name":"free","ApiKeys":["third-key"],"RatePerS":0}],
    "VirtualHosts":[{"Host":"Visits.Example","Paths":[
        {"Name":"r-history","PathPrefix":"/past/","Kind":"safe","TimeoutMs":800,"TargetLatencyMs":1500,"Priority":2,
         "TrafficSplit":[{"Service":"history","Weight":90},{"Service":"booking","Weight":10}],"MaxAttempts":3,
         "Public":false},
        {"Name":"r-ledger","PathPrefix":"/past/ledger/","Kind":"upload","TimeoutMs":500,"Service":"booking",
         "MaxAttempts":1,"Public":true}]}]})";

constexpr core::Duration KeyStaleness = std::chrono::seconds(4);

config::Catalogue catalogueOf(const std::string &document)
{
    const auto decoded = platform::decodeConfigDocument(document, KeyStaleness);
    const auto result = config::Catalogue().withRecord(5, platform::toLogRecord(decoded.value(), 0));
    CHECK_TRUE(result.verdict == config::Verdict::Accepted);
    return result.catalogue;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

TEST_GROUP(ADocumentBecomesResources){};

// Guards against a field of the operator's document that is mapped to the wrong resource field.
TEST(ADocumentBecomesResources, withAllDeclaredFields)
{
    const config::Catalogue catalogue = catalogueOf(Document);
    section("routes are found by host and longest prefix", [&] {
        const config::Route *route = catalogue.findRoute("visits.example:80", "/past/2f");
        CHECK_TRUE(route != nullptr);
        CHECK_TRUE((*route)->name == core::RouteId("r-history"));
        CHECK_TRUE(
            (*route)->services
            == (std::vector<config::ServiceShare>{{core::ServiceId("history"), 90}, {core::ServiceId("booking"), 10}}));
        CHECK_TRUE((*route)->timeout == std::chrono::milliseconds(800));
        LONGS_EQUAL(2, (*route)->retries);
        CHECK_TRUE(config::isIdempotent(*route, "POST"));
        CHECK_FALSE((*route)->isOpen);
        CHECK_TRUE((*catalogue.findRoute("visits.example", "/past/ledger/1"))->name == core::RouteId("r-ledger"));
        CHECK_TRUE(catalogue.findRoute("other.example", "/past/2f") == nullptr);
    });
    section("an upload is not idempotent, and a public route is open and internal", [&] {
        const config::Route *route = catalogue.findRoute("visits.example", "/past/ledger/1");
        CHECK_FALSE(config::isIdempotent(*route, "GET"));
        CHECK_TRUE((*route)->isOpen && (*route)->isInternal);
    });
    section("a path without the prefix's trailing slash does not match", [&] {
        CHECK_TRUE(catalogue.findRoute("visits.example", "/past") == nullptr);
        CHECK_TRUE((*catalogue.findRoute("visits.example", "/past/ledger"))->name == core::RouteId("r-history"));
        CHECK_TRUE((*catalogue.findRoute("visits.example", "/past/?page=2"))->name == core::RouteId("r-history"));
    });
    section("request limits are applied as declared", [&] {
        const config::RequestLimits *limits = catalogue.requestLimits();
        CHECK_TRUE(limits != nullptr);
        LONGS_EQUAL(16384, (*limits)->maxHeaderBytes);
        LONGS_EQUAL(67108864, (*limits)->maxBodyBytes);
        CHECK_TRUE((*limits)->headerTimeout == std::chrono::seconds(3));
        CHECK_TRUE((*limits)->idleTimeout == std::chrono::seconds(15));
    });
    section("keys map to their workspace, with its rate limit, priority and maximum configuration age", [&] {
        const config::Key *key = catalogue.findKey(core::sha256("second-key"));
        CHECK_TRUE(key != nullptr && (*key)->workspace == core::WorkspaceId("garden"));
        const config::Workspace *workspace = catalogue.findWorkspace((*key)->workspace);
        CHECK_TRUE((*workspace)->stalenessLimit == KeyStaleness);
        CHECK_TRUE((*workspace)->staleness == config::Staleness::Refuse);
        LONGS_EQUAL(core::MaxPriority - 1, (*catalogue.findPriority((*workspace)->priority))->level);
        DOUBLES_EQUAL(63, (*catalogue.findLimit((*key)->workspace))->rate, 0);
        CHECK_TRUE(catalogue.findLimit(core::WorkspaceId("free")) == nullptr);
    });
}

// Guards against keys and routes of an older version that remain valid after a newer version is applied.
TEST(ADocumentBecomesResources, thatReplaceThePreviousVersion)
{
    const std::string next = replaced(
        replaced(Document, R"(["first-key","second-key"])", R"(["first-key"])"), "\"Version\":7", "\"Version\":9");
    const auto decoded = platform::decodeConfigDocument(next, KeyStaleness);
    const auto result = catalogueOf(Document).withRecord(9, platform::toLogRecord(decoded.value(), 0));
    CHECK_TRUE(result.catalogue.findKey(core::sha256("first-key")) != nullptr);
    CHECK_TRUE(result.catalogue.findKey(core::sha256("second-key")) == nullptr);
}

// Guards against the partial use of an invalid document.
TEST(ADocumentBecomesResources, onlyIfAllOfItIsValid)
{
    const auto isRefused = [](const std::string &text) {
        return !platform::decodeConfigDocument(text, KeyStaleness).has_value();
    };
    section("a truncated document", [&] { CHECK_TRUE(isRefused(Document.substr(0, Document.size() / 2))); });
    section("a route without a service", [&] {
        CHECK_TRUE(isRefused(replaced(Document, R"("TimeoutMs":500,"Service":"booking",)", R"("TimeoutMs":500,)")));
    });
    section("a traffic split without a positive weight", [&] {
        const std::string document =
            replaced(replaced(Document, "\"Weight\":90", "\"Weight\":0"), "\"Weight\":10", "\"Weight\":0");
        CHECK_TRUE(isRefused(document));
    });
    section("an idle timeout that is not a number",
            [&] { CHECK_TRUE(isRefused(replaced(Document, "\"IdleTimeoutMs\":15000", "\"IdleTimeoutMs\":\"x\""))); });
    section("a prefix that does not end with a slash",
            [&] { CHECK_TRUE(isRefused(replaced(Document, "\"/past/\"", "\"/past\""))); });
    section("a limit that is not a number from 0, which must not be taken for no limit", [&] {
        for (const std::string rate : {"\"RatePerS\":\"63\"", "\"RatePerS\":-63", "\"RatePerS\":null"}) {
            CHECK_TRUE(isRefused(replaced(Document, "\"RatePerS\":63", rate)));
        }
    });
    section("keys that are not strings", [&] { CHECK_TRUE(isRefused(replaced(Document, "\"third-key\"", "3"))); });
}

// Guards against a crash or an endless loop in the decoder.
TEST(ADocumentBecomesResources, withoutACrashOnCorruptedInput)
{
    checkProperty("a corrupted document is refused or yields a record that the catalogue can apply", [] {
        std::string text = Document;
        const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, Document.size()), rc::gen::arbitrary<char>()));
        for (const auto &[place, byte] : changes) {
            text[place] = byte;
        }
        const auto decoded = platform::decodeConfigDocument(text, KeyStaleness);
        if (decoded) {
            const auto result = config::Catalogue().withRecord(5, platform::toLogRecord(*decoded, 0));
            RC_ASSERT(result.catalogue.appliedOffset() == 6U);
        }
    });
}
