#include "berylspring/config/catalogue.h"
#include "platform/operator_records.h"
#include "support/section.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using platform::KeyedRecord;
using platform::OperatorReading;
using platform::OperatorRecords;
using platform::RecordPage;
using test::checkProperty;
using test::section;

namespace {

constexpr core::Offset PerVersion = 65'536;
const core::DataCentreId North("north");
const core::DataCentreId South("south");

std::string document(std::uint64_t version)
{
    return R"({"Version":)" + std::to_string(version) + R"(,"Tenants":[],"VirtualHosts":[]})";
}

/** @brief The operator's topic in the store. */
struct Topic
{
    std::vector<KeyedRecord> records;
    std::uint64_t era = 1;

    void put(const std::string &key, const std::string &value)
    {
        records.push_back({records.size(), key, value});
    }
    [[nodiscard]] RecordPage pageFrom(core::Offset from) const
    {
        const core::Offset end = records.size();
        return {.end = end,
                .next = end,
                .records = {records.begin() + static_cast<std::ptrdiff_t>(from), records.end()},
                .era = era};
    }
    [[nodiscard]] RecordPage newest() const
    {
        std::map<std::string, KeyedRecord> byKey;
        for (const KeyedRecord &record : records) {
            byKey[record.key] = record;
        }
        RecordPage page{.end = records.size(), .next = records.size(), .era = era};
        for (const auto &[key, record] : byKey) {
            page.records.push_back(record);
        }
        return page;
    }
};

OperatorRecords startedOn(const Topic &topic)
{
    return OperatorRecords().withNewest(topic.newest(), {}).state;
}

OperatorRecords followed(const OperatorRecords &state, const Topic &topic)
{
    return state.withLater(topic.pageFrom(state.position()), {}).state;
}

/** Folds the state as a node does. */
config::Catalogue folded(const config::Catalogue &catalogue, const OperatorRecords &state)
{
    return catalogue.withRecord(state.streamOffset().value(), state.toLogRecord()).catalogue;
}

}

TEST_GROUP(AnOperatorEvacuates){};

// Guards against an evacuation that takes effect only with the next document, or outlasts its end.
TEST(AnOperatorEvacuates, betweenTwoDocuments)
{
    Topic topic;
    topic.put("config", document(6));
    OperatorRecords state = startedOn(topic);
    config::Catalogue catalogue = folded({}, state);
    CHECK_EQUAL(7 * PerVersion, *state.streamOffset());
    section("the evacuation is put in force with the last document", [&] {
        topic.put("evacuate/north", "{}");
        state = followed(state, topic);
        CHECK_EQUAL(7 * PerVersion + 1, *state.streamOffset());
        catalogue = folded(catalogue, state);
        CHECK_TRUE(catalogue.isEvacuated(North));
        CHECK_FALSE(catalogue.isEvacuated(South));
        CHECK_TRUE(catalogue.findPriority(config::PriorityId("level-0")) != nullptr);
    });
    section("two data centres at once, and the first is taken back", [&] {
        topic.put("evacuate/south", "{}");
        topic.put("evacuate/north", "");
        state = followed(state, topic);
        CHECK_EQUAL(7 * PerVersion + 3, *state.streamOffset());
        catalogue = folded(catalogue, state);
        CHECK_TRUE(catalogue.isEvacuated(South));
        CHECK_FALSE(catalogue.isEvacuated(North));
    });
    section("a new document leaves the evacuations in force", [&] {
        topic.put("config", document(8));
        state = followed(state, topic);
        CHECK_EQUAL(9 * PerVersion, *state.streamOffset());
        CHECK_TRUE(folded(catalogue, state).isEvacuated(South));
    });
    section("a document that cannot be read does too, and later evacuations take effect", [&] {
        topic.put("config", "{}");
        topic.put("evacuate/north", "{}");
        state = followed(state, topic);
        CHECK_EQUAL(9 * PerVersion + 2, *state.streamOffset());
        CHECK_TRUE(folded(catalogue, state).isEvacuated(North));
    });
    section("so does one that nodes would not accept as a whole", [&] {
        const std::string route = R"("PathPrefix":"/a/","TimeoutMs":800,"Service":"s"})";
        const std::string routes = R"({"Name":"r1",)" + route + R"(,{"Name":"r2",)" + route;
        topic.put("config", R"({"Version":9,"VirtualHosts":[{"Host":"a.example","Paths":[)" + routes + "]}]}");
        const OperatorReading reading = state.withLater(topic.pageFrom(state.position()), {});
        LONGS_EQUAL(1, reading.invalidDocuments.size());
        state = reading.state;
        CHECK_EQUAL(9 * PerVersion + 3, *state.streamOffset());
        CHECK_TRUE(folded(catalogue, state).isEvacuated(North));
    });
    section("the same version written again stays above the offsets that were applied", [&] {
        topic.put("config", document(8));
        state = followed(state, topic);
        CHECK_EQUAL(9 * PerVersion + 4, *state.streamOffset());
    });
    section("names that no data centre can have are reported and ignored", [&] {
        topic.put("evacuate/No Name", "{}");
        topic.put("evacuate/", "{}");
        const OperatorReading reading = state.withLater(topic.pageFrom(state.position()), {});
        CHECK_TRUE(reading.invalidNames == (std::vector<std::string>{"No Name", ""}));
        CHECK_TRUE(reading.state.evacuated() == state.evacuated());
    });
}

// Guards against nodes that order the same configuration differently, so that some keep the older one.
TEST(AnOperatorEvacuates, atTheSameOffsetForEveryReader)
{
    Topic topic;
    checkProperty("a reader that starts late has the state of one that read every record",
                  [](const std::vector<std::uint8_t> &choices) {
                      Topic records;
                      OperatorRecords early;
                      for (std::size_t i = 0; i < choices.size(); ++i) {
                          const std::string name = choices[i] % 2 == 0 ? "evacuate/north" : "evacuate/south";
                          if (choices[i] % 5 == 0) {
                              records.put("config", document(i));
                          } else {
                              records.put(name, choices[i] % 3 == 0 ? "" : "{}");
                          }
                          early = i == 0 ? startedOn(records) : followed(early, records);
                          const OperatorRecords late = startedOn(records);
                          RC_ASSERT(late.streamOffset() == early.streamOffset());
                          RC_ASSERT(late.evacuated() == early.evacuated());
                          if (late.streamOffset()) {
                              RC_ASSERT(late.toLogRecord() == early.toLogRecord());
                          }
                      }
                  });
    section("the history of the log was deleted: the newest records are the whole state", [&] {
        topic.put("config", document(6));
        topic.put("evacuate/north", "{}");
        OperatorRecords state = startedOn(topic);
        topic.put("evacuate/north", "");
        topic.put("evacuate/south", "{}");
        state = state.withNewest(topic.newest(), {}).state;
        CHECK_EQUAL(7 * PerVersion + 3, *state.streamOffset());
        CHECK_TRUE(state.evacuated() == std::set<core::DataCentreId>{South});
    });
    section("pages of the newest records that were read at different times wait for the records between", [&] {
        RecordPage page = topic.newest();
        page.next = 2;
        const OperatorReading reading = OperatorRecords().withNewest(page, {});
        CHECK_FALSE(reading.reachesEnd);
        CHECK_FALSE(reading.state.streamOffset().has_value());
        CHECK_TRUE(followed(reading.state, topic).streamOffset() == startedOn(topic).streamOffset());
    });
}

// Guards against evacuations of a lost history, and against offsets that reach the next version.
TEST(AnOperatorEvacuates, withinTheOffsetsOfOneVersion)
{
    Topic topic;
    topic.put("config", document(6));
    topic.put("evacuate/north", "{}");
    const OperatorRecords before = startedOn(topic);
    section("a store that was restored from a copy without a document has no state", [&] {
        Topic restored;
        restored.era = 2;
        restored.put("evacuate/south", "{}");
        const OperatorRecords after = before.withNewest(restored.newest(), {}).state;
        CHECK_FALSE(after.streamOffset().has_value());
        CHECK_TRUE(after.evacuated() == std::set<core::DataCentreId>{South});
    });
    section("very many records end below the next version", [&] {
        RecordPage page{.end = 100'000, .next = 100'000, .era = 1};
        const OperatorRecords after = before.withLater(page, {}).state;
        CHECK_EQUAL(8 * PerVersion - 1, *after.streamOffset());
        CHECK_TRUE(after.isOffsetExhausted());
    });
    section("versions whose offsets cannot be expressed are refused", [] {
        CHECK_TRUE(platform::decodeConfigDocument(document(1ULL << 46U), {}).has_value());
        CHECK_FALSE(platform::decodeConfigDocument(document((1ULL << 46U) + 1), {}).has_value());
    });
}
