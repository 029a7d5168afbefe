#include "platform/store_records.h"
#include "support/section.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;

namespace {

std::string bigEndian(std::uint64_t number)
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<char>((number >> static_cast<unsigned>(shift)) & 0xffU));
    }
    return bytes;
}

}

TEST_GROUP(RecordsOfTheStore){};

TEST(RecordsOfTheStore, areReadAsTheyWereWritten)
{
    const std::string bytes = bigEndian(9) + bigEndian(2) + platform::encodeKeyedRecord("config", "{}")
                              + platform::encodeKeyedRecord("other", "");
    const auto page = platform::decodeRecords(bytes, 5);
    CHECK_TRUE(page.has_value());
    LONGS_EQUAL(9, page->end);
    LONGS_EQUAL(2, page->first);
    LONGS_EQUAL(7, page->next);
    CHECK_TRUE(page->hasMore);
    CHECK_TRUE(page->records == (std::vector<platform::KeyedRecord>{{5, "config", "{}"}, {6, "other", ""}}));
}

TEST(RecordsOfTheStore, areReadWithTheNewestPerKey)
{
    const auto page = platform::decodeNewest(
        R"({"items":[{"Key":"config","Value":"e30=","Offset":4},{"Key":7},{"Key":"x","Value":"%%%","Offset":1}],)"
        R"("HasMore":true,"End":6})");
    CHECK_TRUE(page.has_value());
    CHECK_TRUE(page->records == (std::vector<platform::KeyedRecord>{{4, "config", "{}"}}));
    CHECK_TRUE(page->hasMore);
    LONGS_EQUAL(6, page->end);
    section("the next page starts after the last key, also if its record cannot be read",
            [&] { STRCMP_EQUAL("x", page->lastKey.c_str()); });
}

// Guards against a page truncated by a lost connection that is mistaken for the end of the log.
TEST(RecordsOfTheStore, areRefusedWhenTheyAreTruncated)
{
    const std::string whole = bigEndian(6) + bigEndian(0) + platform::encodeKeyedRecord("config", "value");
    CHECK_TRUE(platform::decodeRecords(whole, 5).has_value());
    for (std::size_t length = 0; length < whole.size(); ++length) {
        // The 16 bytes of the two offsets alone are a complete page without records.
        const bool isWhole = length == 16;
        CHECK_EQUAL(isWhole, platform::decodeRecords(whole.substr(0, length), 5).has_value());
    }
    CHECK_FALSE(platform::decodeNewest(R"({"items":[]})").has_value());
    section("arbitrary bytes", [] {
        checkProperty("are decoded or refused", [](const std::string &bytes) {
            const auto page = platform::decodeRecords(bytes, 1);
            if (page) {
                RC_ASSERT(page->records.size() <= bytes.size());
            }
            RC_ASSERT(!platform::decodeNewest(bytes).has_value() || !bytes.empty());
        });
    });
}
