#include "berylspring/membership/member_table.h"
#include "berylspring/membership/probe_schedule.h"
#include "berylspring/membership/snapshot_cache.h"
#include "berylspring/membership/timing.h"
#include "berylspring/membership/update_queue.h"
#include "support/section.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using membership::MemberTable;
using membership::RecordSource;
using test::checkProperty;
using test::section;
using wire::MemberState;

namespace {

const core::TimePoint start{1000h};
const core::HostId subject("h");

wire::MemberUpdate recordOf(std::uint64_t incarnation,
                            MemberState state,
                            std::uint64_t version = 0,
                            const core::HostId &host = subject,
                            const std::string &dataCentre = "a")
{
    wire::MemberUpdateFields fields;
    fields.host = host;
    fields.dataCentre = core::DataCentreId(dataCentre);
    fields.address = "192.0.2.1";
    fields.incarnation = incarnation;
    fields.state = state;
    fields.version = version;
    fields.appliedOffset = 100 * incarnation + version;
    return wire::MemberUpdate(fields);
}

}

TEST_GROUP(ARecordAmongTheMembers)
{
    MemberTable table;

    membership::MergeOutcome hear(std::uint64_t incarnation, MemberState state, core::TimePoint now = start)
    {
        return table.merge(recordOf(incarnation, state), RecordSource::Other, now);
    }
    MemberState state() const
    {
        return table.find(subject)->state();
    }
};

TEST(ARecordAmongTheMembers, hasTheSameResultInAnyOrderOfUpdates)
{
    // Guards against views that depend on the order or repetition of datagrams.
    checkProperty("order and repetition do not matter", [](const std::vector<std::uint8_t> &codes, std::uint64_t seed) {
        std::vector<wire::MemberUpdate> records;
        for (const auto code : codes) {
            records.push_back(recordOf(1U + code % 3U, static_cast<MemberState>(code / 3U % 4U), code / 12U % 4U));
        }
        auto shuffled = records;
        shuffled.insert(shuffled.end(), records.begin(), records.end());
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(seed));
        MemberTable one;
        MemberTable other;
        for (auto *each : {&one, &other}) {
            each->merge(recordOf(1, MemberState::Alive), RecordSource::Other, start);
            for (const auto &record : each == &one ? records : shuffled) {
                each->merge(record, RecordSource::Other, start);
            }
        }
        RC_ASSERT(one.find(subject)->record() == other.find(subject)->record());
    });
}

TEST(ARecordAmongTheMembers, isSuspectedBeforeItIsDeadAndRemovedAfterwards)
{
    hear(1, MemberState::Alive);
    section("a reported death starts a suspicion with half of the suspicion time", [&] {
        hear(1, MemberState::Dead);
        CHECK(state() == MemberState::Suspect);
        LONGS_EQUAL(0, table.expire(start + 700ms, membership::SuspicionTime).died.size());
        LONGS_EQUAL(1, table.expire(start + 750ms, membership::SuspicionTime).died.size());
    });
    section("a higher incarnation overturns the death", [&] {
        CHECK(hear(1, MemberState::Alive).contradiction.has_value());
        CHECK(hear(2, MemberState::Alive).isNew);
        CHECK(state() == MemberState::Alive);
    });
    section("a datagram of the suspect and a delay of this process extend the suspicion", [&] {
        CHECK(table.suspect(subject, 2, start + 1s).has_value());
        CHECK_FALSE(table.suspect(subject, 2, start + 1s).has_value());
        table.merge(recordOf(2, MemberState::Alive), RecordSource::Member, start + 2s);
        table.extendSuspicions(500ms);
        LONGS_EQUAL(0, table.expire(start + 3s, membership::SuspicionTime).died.size());
        LONGS_EQUAL(1, table.expire(start + 4s, membership::SuspicionTime).died.size());
    });
    section("it is removed after the retention, and only an alive record adds it again", [&] {
        LONGS_EQUAL(0, table.expire(start + 3s + membership::DeadRetention, membership::SuspicionTime).removed);
        LONGS_EQUAL(1, table.expire(start + 4s + membership::DeadRetention, membership::SuspicionTime).removed);
        for (const auto old : {MemberState::Suspect, MemberState::Dead, MemberState::Left}) {
            CHECK_FALSE(hear(2, old).changed.has_value());
        }
        LONGS_EQUAL(0, table.size());
        CHECK(hear(2, MemberState::Alive).isNew);
    });
}

TEST(ARecordAmongTheMembers, showsInSnapshotsThatAreSharedUntilItChanges)
{
    const membership::SelfRecord self(
        membership::MembershipSettings{core::HostId("self"), core::DataCentreId("a"), "192.0.2.2", 1, {}});
    const membership::SnapshotCache cache;
    hear(1, MemberState::Alive);
    const auto first = cache.current(table, self, start);
    POINTERS_EQUAL(first.get(), cache.current(table, self, start + 1s).get());
    LONGS_EQUAL(2, first->liveHosts(core::DataCentreId("a")).size());
    hear(1, MemberState::Left);
    // The rate of rebuilds is bounded by the number of members.
    POINTERS_EQUAL(first.get(), cache.current(table, self, start).get());
    const auto second = cache.current(table, self, start + 1s);
    LONGS_EQUAL(1, second->liveHosts(core::DataCentreId("a")).size());
    LONGS_EQUAL(1, second->recentHosts(core::DataCentreId("a")).size());
    LONGS_EQUAL(2, second->members().size());
}

TEST(ARecordAmongTheMembers, isProbedOncePerRoundAtTheRateOfItsDataCentre)
{
    std::vector<membership::Member> members;
    for (const std::string dataCentre : {"a", "b"}) {
        for (int i = 0; i < 5; ++i) {
            const core::HostId host(dataCentre + std::to_string(i));
            members.emplace_back(recordOf(1, MemberState::Alive, 0, host, dataCentre), start, start);
        }
    }
    const membership::MemberSnapshot snapshot(members);
    membership::ProbeSchedule schedule(core::HostId("a0"), core::DataCentreId("a"));
    std::map<std::string, int> probes;
    const auto runFor =
        [&](core::TimePoint begin, core::Duration time, const std::optional<core::DataCentreId> &suspectDataCentre) {
            for (auto now = begin; now < begin + time; now += membership::TickInterval) {
                for (const auto &host : schedule.takeDue(
                         now, snapshot, suspectDataCentre, [](const auto &) { return true; }, 17)) {
                    ++probes[host.value()];
                }
            }
        };
    section("10 probes in 3 s inside the data centre and 3 outside, each member equally often", [&] {
        runFor(start, 60s, {});
        for (const char *host : {"a1", "a2", "a3", "a4"}) {
            LONGS_EQUAL(50, probes[host]);
        }
        LONGS_EQUAL(0, probes["a0"]);
        for (int i = 0; i < 5; ++i) {
            LONGS_EQUAL(12, probes["b" + std::to_string(i)]);
        }
    });
    section("a data centre with a suspect is probed faster", [&] {
        probes.clear();
        runFor(start + 60s, 8s, core::DataCentreId("b"));
        int outside = 0;
        for (const auto &[host, count] : probes) {
            outside += host.front() == 'b' ? count : 0;
        }
        CHECK(outside >= 25);
    });
}

TEST(ARecordAmongTheMembers, isGossipedALimitedNumberOfTimesTheNewestFirst)
{
    membership::UpdateQueue queue;
    const core::HostId older("older");
    queue.add(older);
    queue.add(subject);
    CHECK(queue.first(1).front() == subject);
    queue.markSent(subject, 2);
    CHECK(queue.first(1).front() == older);
    queue.markSent(older, 2);
    queue.markSent(older, 2);
    LONGS_EQUAL(1, queue.size());
    section("a new change resets the count of transmissions", [&] {
        queue.add(subject);
        queue.markSent(subject, 2);
        LONGS_EQUAL(1, queue.size());
    });
    section("the limit grows with the logarithm of the number of members", [] {
        LONGS_EQUAL(15, membership::transmissionLimit(5));
        LONGS_EQUAL(21, membership::transmissionLimit(80));
        LONGS_EQUAL(42, membership::transmissionLimit(15000));
    });
}
