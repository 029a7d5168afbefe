#include "berylspring/config/catalogue.h"
#include "platform/config_document.h"
#include "platform/store_records.h"
#include "support/section.h"

#include <chrono>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;

namespace {

constexpr core::Duration KeyStaleness = std::chrono::seconds(4);
/** `{}` in base64. */
const std::string ProperItem = R"({"Key":"proper","Value":"e30=","Offset":4})";

std::string repeated(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

const std::string Nested = repeated("[", 10'000) + repeated("]", 10'000);

std::string newestPage(const std::string &item)
{
    return R"({"items":[)" + ProperItem + "," + item + "," + ProperItem + R"(],"HasMore":false,"End":9})";
}

std::string recordOf(const std::string &content)
{
    const auto size = static_cast<std::uint32_t>(content.size());
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xffU));
    }
    return bytes + content;
}

std::string document(const std::string &tenant, const std::string &path, const std::string &version = "7")
{
    return R"({"Version":)" + version + R"(,"Tenants":[)" + tenant
           + R"(],"VirtualHosts":[{"Host":"visits.example","Paths":[)" + path + "]}]}";
}

const std::string Tenant = R"({"Name":"garden","ApiKeys":["key"],"Priority":1,"RatePerS":63,"Burst":63})";
const std::string Path = R"({"Name":"r-past","PathPrefix":"/past/","Kind":"safe","TimeoutMs":800,"Service":"history"})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

/** Decodes a document and folds it as a node does. Neither may throw, and an odd record leaves the next one in force.
 */
void followedAfter(const std::string &odd)
{
    config::Catalogue catalogue;
    if (const auto decoded = platform::decodeConfigDocument(odd, KeyStaleness)) {
        catalogue = catalogue.withRecord(5, platform::toLogRecord(*decoded, 0)).catalogue;
    }
    const auto proper = platform::decodeConfigDocument(document(Tenant, Path, "8"), KeyStaleness);
    const auto result = catalogue.withRecord(6, platform::toLogRecord(proper.value(), 0));
    CHECK_TRUE(result.verdict == config::Verdict::Accepted);
    CHECK_TRUE(result.catalogue.findRoute("visits.example", "/past/1") != nullptr);
}

}

TEST_GROUP(OddRecordsOfTheStore){};

// Guards against an item that hides the others of its page, or ends the process.
TEST(OddRecordsOfTheStore, areOmittedFromAPageOfTheNewest)
{
    const std::vector<std::string> items{"{}",
                                         "7",
                                         "null",
                                         "[]",
                                         R"("text")",
                                         R"({"Key":7,"Value":"e30=","Offset":1})",
                                         R"({"Key":"odd","Value":7,"Offset":1})",
                                         R"({"Key":"odd","Value":"e30=","Offset":-1})",
                                         R"({"Key":"odd","Value":"e30=","Offset":1.5})",
                                         R"({"Key":"odd","Value":"e30=","Offset":1e300})",
                                         R"({"Key":"odd","Value":"e30=","Offset":18446744073709551615})",
                                         R"({"Key":"odd","Value":"e30=","Offset":18446744073709551616})",
                                         R"({"Key":"odd","Value":"e30=","Offset":"1"})",
                                         R"({"Key":"odd","Value":"e3","Offset":1})",
                                         R"({"Key":"odd","Value":"====","Offset":"1"})",
                                         R"({"Key":"odd","Value":"%%%%","Offset":1})",
                                         R"({"Key":"odd","Value":")" + std::string(200'001, 'x') + R"(","Offset":1})"};
    for (const std::string &item : items) {
        section(item.substr(0, 60), [&] {
            const auto page = platform::decodeNewest(newestPage(item));
            CHECK_TRUE(page.has_value());
            LONGS_EQUAL(2, page->records.size());
            LONGS_EQUAL(9, page->next);
        });
    }
    section("a key that is not UTF-8", [] {
        const auto page = platform::decodeNewest(newestPage("{\"Key\":\"o\xff\xfe\",\"Value\":\"e30=\",\"Offset\":1}"));
        CHECK_TRUE(page.has_value());
        LONGS_EQUAL(3, page->records.size());
        LONGS_EQUAL(9, page->next);
    });
    section("any text in place of a value", [] {
        checkProperty("is decoded or omitted", [](const std::string &text) {
            const std::string value = boost::json::serialize(boost::json::value(text));
            const auto page = platform::decodeNewest(newestPage(R"({"Key":"odd","Offset":1,"Value":)" + value + "}"));
            if (page) {
                RC_ASSERT(page->records.size() >= 2U);
            }
        });
    });
}

// Guards against a record that hides the others of its page, or ends the process.
TEST(OddRecordsOfTheStore, areOmittedFromAPageOfTheLog)
{
    const std::string offsets = std::string("\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\0", 16);
    const std::string proper = platform::encodeKeyedRecord("proper", "{}");
    for (const std::string &content : {std::string(),
                                       std::string("\0", 1),
                                       std::string("\0value", 6),
                                       std::string("\xff"
                                                   "short",
                                                   6)}) {
        std::string bytes = offsets;
        bytes.append(proper).append(recordOf(content)).append(proper);
        const auto page = platform::decodeRecords(bytes, 0);
        CHECK_TRUE(page.has_value());
        LONGS_EQUAL(2, page->records.size());
        LONGS_EQUAL(2, page->records.back().offset);
        LONGS_EQUAL(3, page->next);
    }
}

// Guards against a document after which the node ends, or does not take the next one.
TEST(OddRecordsOfTheStore, leaveTheNextConfigurationInForce)
{
    for (const std::string &text : {std::string(),
                                    Nested,
                                    repeated(R"({"a":)", 10'000),
                                    std::string("\0\xff", 2),
                                    std::string(200'000, 'x'),
                                    std::string("null")}) {
        section("not a document", [&] { followedAfter(text); });
    }
    for (const std::string number : {"-1",
                                     "-0",
                                     "0.0001",
                                     "1e400",
                                     "1e30",
                                     "18446744073709551616",
                                     "9223372036854775807",
                                     "\"1\"",
                                     "null",
                                     "[]",
                                     Nested.c_str()}) {
        section(number.substr(0, 30), [&] {
            followedAfter(document(Tenant, Path, number));
            followedAfter(document(replaced(Tenant, R"("Priority":1)", R"("Priority":)" + number), Path));
            followedAfter(document(replaced(Tenant, R"("RatePerS":63)", R"("RatePerS":)" + number), Path));
            followedAfter(document(replaced(Tenant, R"("Burst":63)", R"("Burst":)" + number), Path));
            followedAfter(document(replaced(Tenant, R"(["key"])", number), Path));
            followedAfter(document(Tenant, replaced(Path, "800", number)));
            followedAfter(document(Tenant, replaced(Path, R"("history")", number)));
        });
    }
    section("a name that is used twice", [] {
        followedAfter(document(Tenant + "," + Tenant, Path + "," + Path));
        followedAfter(document(Tenant, replaced(Path, R"("Name":"r-past")", R"("Name":7,"Name":"r-past")")));
    });
    section("bytes of any kind in names and prefixes", [] {
        checkProperty("leave the next one in force", [](const std::string &text) {
            const std::string value = boost::json::serialize(boost::json::value(text));
            followedAfter(document(replaced(Tenant, R"("key")", value), Path));
            followedAfter(document(Tenant, replaced(Path, R"("/past/")", value)));
            followedAfter(replaced(document(Tenant, Path), R"("visits.example")", value));
        });
    });
    section("a piece in any place", [] {
        checkProperty("leaves the next one in force", [](std::uint16_t place) {
            std::string text = document(Tenant, Path);
            const auto piece =
                *rc::gen::element<std::string>("[", "}", "\"", "-", "9", "1e400", "\\u0000", "\xff", "null", ",");
            followedAfter(text.replace(place % text.size(), *rc::gen::inRange<std::size_t>(0, 4), piece));
        });
    });
}
