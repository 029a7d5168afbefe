#include "berylspring/core/name.h"
#include "berylspring/core/rendezvous.h"
#include "berylspring/core/sharded_map.h"
#include "support/section.h"

#include <algorithm>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;

namespace {

std::vector<core::HostId> hostsNamed(const std::set<std::string> &names)
{
    std::vector<core::HostId> hosts;
    for (const auto &name : names) {
        hosts.emplace_back(name);
    }
    return hosts;
}

}

TEST_GROUP(NamesAndPlacement){};

TEST(NamesAndPlacement, acceptOnlyTheDocumentedAlphabet)
{
    section("valid names", [] {
        CHECK(core::isValidName("a"));
        CHECK(core::isValidName("host-17"));
        CHECK(core::isValidName(std::string(63, 'x')));
    });
    section("names that are unsafe in paths, labels or headers", [] {
        for (const char *bad : {"", "-a", "a-", "A", "a/b", "a b", "a\n", "\xc3\xa9"}) {
            CHECK_FALSE(core::isValidName(bad));
        }
        CHECK_FALSE(core::isValidName(std::string(64, 'x')));
    });
}

TEST(NamesAndPlacement, moveOnlyTheKeysOfAHostThatLeaves)
{
    checkProperty("keys of the remaining hosts do not move",
                  [](const std::set<std::string> &names, const std::string &key) {
                      RC_PRE(names.size() >= 2U);
                      const auto hosts = hostsNamed(names);
                      const auto order = core::rendezvousOrder(key, hosts);
                      RC_ASSERT(order.front() == core::rendezvousFirst(key, hosts));
                      for (const auto &leaving : hosts) {
                          auto rest = hosts;
                          rest.erase(std::find(rest.begin(), rest.end(), leaving));
                          const auto expected = leaving == order.front() ? order.at(1) : order.front();
                          RC_ASSERT(core::rendezvousFirst(key, rest) == expected);
                      }
                  });
}

TEST(NamesAndPlacement, countEachUpdateOfAShardedMapOnce)
{
    constexpr int ThreadCount = 4;
    constexpr int UpdatesPerThread = 5000;
    constexpr int KeyCount = 40;
    core::ShardedMap<int, int> counts;
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < ThreadCount; ++t) {
            threads.emplace_back([&] {
                for (int i = 0; i < UpdatesPerThread; ++i) {
                    counts.update(i % KeyCount, [](std::optional<int> &value) { value = value.value_or(0) + 1; });
                }
            });
        }
    }
    int total = 0;
    counts.forEach([&](int, int value) { total += value; });
    LONGS_EQUAL(ThreadCount * UpdatesPerThread, total);
    LONGS_EQUAL(KeyCount, counts.size());
}
