#include "node/heartbeat_gate.h"
#include "node/leave_holders.h"
#include "support/section.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using membership::Member;
using membership::MemberSnapshot;
using node::detail::HeartbeatGate;
using node::detail::leaveHolders;
using test::section;

namespace {

Member
member(const std::string &host, const std::string &dataCentre, wire::MemberState state = wire::MemberState::Alive)
{
    return Member(wire::MemberUpdate({.host = core::HostId(host),
                                      .dataCentre = core::DataCentreId(dataCentre),
                                      .incarnation = 7,
                                      .state = state}),
                  core::TimePoint(),
                  core::TimePoint());
}

std::set<std::string> namesOf(const std::vector<admission::NoticeReceiver> &holders)
{
    std::set<std::string> names;
    for (const admission::NoticeReceiver &holder : holders) {
        LONGS_EQUAL(7, holder.incarnation);
        names.insert(holder.host.value());
    }
    return names;
}

}

TEST_GROUP(HoldersOfLeaves)
{
    Member self = member("h1", "a");
    std::vector<Member> all{self,
                            member("h2", "a"),
                            member("h3", "a"),
                            member("h4", "a"),
                            member("h5", "a", wire::MemberState::Dead),
                            member("h6", "b"),
                            member("h7", "c")};
};

// Guards against copies of a leave that are lost together, or that the next process does not ask for.
TEST(HoldersOfLeaves, areInTheOwnDataCentreAndOutsideOfIt)
{
    const auto holders = namesOf(leaveHolders(MemberSnapshot(all), self, node::detail::LeaveHolders));
    section("live hosts keep them", [&] {
        LONGS_EQUAL(3, holders.size());
        LONGS_EQUAL(1, holders.count("h6") + holders.count("h7"));
        LONGS_EQUAL(0, holders.count("h1") + holders.count("h5"));
    });
    section("one that has joined since displaces none of those that are asked", [&] {
        all.push_back(member("h8", "a"));
        all.push_back(member("h9", "b"));
        const auto witnesses = namesOf(leaveHolders(MemberSnapshot(all), self, node::detail::LeaveWitnesses));
        for (const std::string &holder : holders) {
            CHECK(witnesses.contains(holder));
        }
    });
    section("a lone host has none",
            [&] { CHECK(leaveHolders(MemberSnapshot({self}), self, node::detail::LeaveHolders).empty()); });
}

// Guards against a heartbeat that is dropped while it cannot be judged: its endpoint would be out of service until the
// next one.
TEST(HoldersOfLeaves, areWaitedForWithTheHeartbeats)
{
    HeartbeatGate gate(false);
    const http::EndpointHeartbeat heartbeat{.announcement = {.id = "i-1", .incarnation = 1}, .sequence = 3};
    const core::TimePoint now{1h};
    CHECK(gate.hold(heartbeat, now));
    const auto held = gate.open();
    LONGS_EQUAL(1, held.size());
    CHECK(held.front() == (node::detail::HeldHeartbeat{heartbeat, now}));
    section("later ones are not held", [&] { CHECK_FALSE(gate.hold(heartbeat, now)); });
    section("a flood is bounded, and the last ones count", [&] {
        HeartbeatGate flooded(false);
        for (std::size_t i = 0; i <= HeartbeatGate::MaxHeld; ++i) {
            CHECK(flooded.hold(heartbeat, now + i * 1ms));
        }
        const auto last = flooded.open();
        LONGS_EQUAL(HeartbeatGate::MaxHeld, last.size());
        CHECK(last.back().receivedAt == now + HeartbeatGate::MaxHeld * 1ms);
    });
}
