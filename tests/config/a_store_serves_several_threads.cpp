#include "config/catalogue_store.h"
#include "config/records.h"
#include "support/section.h"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;

namespace {

constexpr core::Offset RecordCount = 600;

std::vector<wire::LogEntry> entriesFrom(core::Offset from, core::Offset count)
{
    std::vector<wire::LogEntry> entries;
    for (core::Offset offset = from; offset < std::min(from + count, RecordCount); ++offset) {
        const std::string number = std::to_string(offset);
        entries.push_back(
            {offset, test::putRecord("op" + number, config::ResourceType::Workspace, "w" + number, "{}")});
    }
    return entries;
}

}

TEST_GROUP(AStoreServesSeveralThreads){};

TEST(AStoreServesSeveralThreads, thatFoldTheSameRecordsAndNeverSeesItGoBack)
{
    config::detail::CatalogueStore store(100);
    std::vector<int> stepsBack(2, 0);
    {
        std::vector<std::jthread> threads;
        for (const core::Offset step : {7U, 50U}) {
            threads.emplace_back([&store, step] {
                while (store.appliedOffset() < RecordCount) {
                    const core::Offset from = store.appliedOffset();
                    store.fold(from, entriesFrom(from, step));
                }
            });
        }
        for (int &count : stepsBack) {
            threads.emplace_back([&store, &count] {
                core::Offset last = 0;
                while (last < RecordCount) {
                    const auto catalogue = store.catalogue();
                    count += catalogue->appliedOffset() < last ? 1 : 0;
                    last = catalogue->appliedOffset();
                    (void)store.batchFrom(last, 10);
                }
            });
        }
    }
    section("each record was folded once, and no reader saw the applied offset decrease", [&] {
        LONGS_EQUAL(RecordCount - 1, store.catalogue()->resourceCount());
        LONGS_EQUAL(0, stepsBack[0] + stepsBack[1]);
    });
    section("the history has the last records, and a pull of older ones gets a snapshot", [&] {
        const auto recent = store.batchFrom(RecordCount - 100, 1000);
        LONGS_EQUAL(100, recent->records.size());
        LONGS_EQUAL(RecordCount, recent->next);
        CHECK_TRUE(store.batchFrom(RecordCount - 101, 1000)->snapshot.has_value());
    });
    section("records after a gap and older snapshots are ignored", [&] {
        CHECK_FALSE(store.fold(RecordCount + 1, {{RecordCount + 1, "x"}}).hasAdvanced);
        CHECK_FALSE(store.replace(test::startedCatalogue()).hasAdvanced);
        LONGS_EQUAL(RecordCount, store.appliedOffset());
    });
}
