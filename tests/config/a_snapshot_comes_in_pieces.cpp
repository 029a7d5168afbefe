#include "berylspring/config/snapshot.h"
#include "config/records.h"
#include "config/snapshot_schedule.h"
#include "support/section.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using config::Catalogue;
using config::SnapshotAssembler;
using test::checkProperty;
using test::section;

namespace {

Catalogue largeCatalogue()
{
    Catalogue catalogue = test::startedCatalogue();
    for (int i = 0; i < 1600; ++i) {
        const std::string name = "workspace-" + std::to_string(i);
        catalogue = test::folded(catalogue, {test::putRecord(name, config::ResourceType::Workspace, name, "{}")});
    }
    return catalogue;
}

}

TEST_GROUP(ASnapshotComesInPieces){};

TEST(ASnapshotComesInPieces, andIsPutTogetherInAnyOrder)
{
    const Catalogue older = largeCatalogue();
    const Catalogue newer = test::folded(older, {"garbage"});
    const auto olderRecords = config::toSnapshotRecords(older, "older");
    const auto newerRecords = config::toSnapshotRecords(newer, "newer");
    section("in records below the size limit", [&] {
        CHECK_TRUE(newerRecords.size() > 2);
        for (const auto &record : newerRecords) {
            CHECK_TRUE(record.size() < config::MaxSnapshotRecordBytes);
        }
    });
    checkProperty("the newest complete snapshot results from any order with duplicates and garbage", [&] {
        std::vector<std::string> records = olderRecords;
        records.insert(records.end(), newerRecords.begin(), newerRecords.end());
        records.push_back(newerRecords.front());
        records.emplace_back("{}");
        for (std::size_t i = records.size(); i > 1; --i) {
            std::swap(records[i - 1], records[*rc::gen::inRange<std::size_t>(0, i)]);
        }
        SnapshotAssembler assembler;
        for (const auto &record : records) {
            assembler.add(record);
        }
        RC_ASSERT(assembler.newest()->toJson() == newer.toJson());
    });
    section("a partial one is ignored, a stale one too", [&] {
        SnapshotAssembler assembler;
        for (std::size_t i = 1; i < newerRecords.size(); ++i) {
            assembler.add(newerRecords[i]);
        }
        CHECK_FALSE(assembler.newest().has_value());
        for (const auto &record : olderRecords) {
            assembler.add(record);
        }
        LONGS_EQUAL(older.appliedOffset(), assembler.newest()->appliedOffset());
        assembler.add(newerRecords.front());
        for (const auto &record : olderRecords) {
            assembler.add(record);
        }
        LONGS_EQUAL(newer.appliedOffset(), assembler.newest()->appliedOffset());
    });
    section("chunks of two writers are not mixed, and a changed chunk is noticed", [&] {
        auto mixed = newerRecords;
        const auto place = mixed.back().rfind("workspace-");
        mixed.back()[place] = 'x';
        SnapshotAssembler assembler;
        for (const auto &record : mixed) {
            assembler.add(record);
        }
        CHECK_FALSE(assembler.newest().has_value());
    });
}

TEST(ASnapshotComesInPieces, writtenByOneNodeAtATime)
{
    using std::chrono::hours;
    const core::TimePoint start{};
    const config::detail::SnapshotSchedule schedule{hours(4)};
    section("nobody writes before it looked, and the first writer at once into an empty stream", [&] {
        CHECK_FALSE(schedule.isDue(0, start));
        CHECK_TRUE(schedule.withNewest({}, start).isDue(0, start));
        CHECK_FALSE(schedule.withNewest({}, start).isDue(1, start));
    });
    const auto seen = schedule.withNewest({}, start).withNewest(7, start);
    section("the writer after one interval, the back-up after one and a half, others never", [&] {
        CHECK_FALSE(seen.isDue(0, start + hours(3)));
        CHECK_TRUE(seen.isDue(0, start + hours(4)));
        CHECK_FALSE(seen.isDue(1, start + hours(5)));
        CHECK_TRUE(seen.isDue(1, start + hours(6)));
        CHECK_FALSE(seen.isDue(-1, start + hours(100)));
    });
    section("a new snapshot puts both off, the same one again does not", [&] {
        CHECK_FALSE(seen.withNewest(9, start + hours(5)).isDue(1, start + hours(10)));
        CHECK_TRUE(seen.withNewest(7, start + hours(5)).isDue(0, start + hours(5)));
    });
    section("a fresh node takes the snapshot that it finds for half an interval old", [&] {
        const auto fresh = schedule.withNewest(7, start);
        CHECK_FALSE(fresh.isDue(0, start + hours(1)));
        CHECK_TRUE(fresh.isDue(0, start + hours(2)));
    });
}
