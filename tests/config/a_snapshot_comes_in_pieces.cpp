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

constexpr std::size_t SmallChunk = 500;

Catalogue catalogueOf(int workspaces)
{
    Catalogue catalogue = test::startedCatalogue();
    for (int i = 0; i < workspaces; ++i) {
        const std::string name = "workspace-" + std::to_string(i);
        catalogue = test::folded(catalogue, {test::putRecord(name, config::ResourceType::Workspace, name, "{}")});
    }
    return catalogue;
}

}

TEST_GROUP(ASnapshotComesInPieces){};

TEST(ASnapshotComesInPieces, andIsPutTogetherInAnyOrder)
{
    const Catalogue older = catalogueOf(20);
    const Catalogue newer = test::folded(older, {"garbage"});
    const auto olderRecords = config::toSnapshotRecords(older, "older", SmallChunk);
    const auto newerRecords = config::toSnapshotRecords(newer, "newer", SmallChunk);
    CHECK_TRUE(newerRecords.size() > 2);
    section("all records are smaller than the size limit", [&] {
        const auto records = config::toSnapshotRecords(catalogueOf(1600), "large");
        CHECK_TRUE(records.size() > 2);
        for (const auto &record : records) {
            CHECK_TRUE(record.size() < config::MaxSnapshotRecordBytes);
        }
    });
    checkProperty("records in any order, with duplicates and malformed ones, give the newest complete snapshot", [&] {
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
    section("incomplete and stale snapshots are ignored", [&] {
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
    section("chunks of two writers are not mixed, and an altered chunk is detected", [&] {
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
    section("no node writes before its first check; then only the first writer writes to an empty stream at once", [&] {
        CHECK_FALSE(schedule.isDue(0, start));
        CHECK_TRUE(schedule.withNewest({}, start).isDue(0, start));
        CHECK_FALSE(schedule.withNewest({}, start).isDue(1, start));
    });
    const auto seen = schedule.withNewest({}, start).withNewest(7, start);
    section("the writer is due after one interval, the backup after one and a half, other nodes never", [&] {
        CHECK_FALSE(seen.isDue(0, start + hours(3)));
        CHECK_TRUE(seen.isDue(0, start + hours(4)));
        CHECK_FALSE(seen.isDue(1, start + hours(5)));
        CHECK_TRUE(seen.isDue(1, start + hours(6)));
        CHECK_FALSE(seen.isDue(-1, start + hours(100)));
    });
    section("a new snapshot postpones the next one for both writers, a known snapshot does not", [&] {
        CHECK_FALSE(seen.withNewest(9, start + hours(5)).isDue(1, start + hours(10)));
        CHECK_TRUE(seen.withNewest(7, start + hours(5)).isDue(0, start + hours(5)));
    });
    section("a new node assumes that the first snapshot it sees is half an interval old", [&] {
        const auto fresh = schedule.withNewest(7, start);
        CHECK_FALSE(fresh.isDue(0, start + hours(1)));
        CHECK_TRUE(fresh.isDue(0, start + hours(2)));
    });
}
