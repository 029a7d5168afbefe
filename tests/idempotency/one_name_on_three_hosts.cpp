#include "berylspring/core/rendezvous.h"
#include "berylspring/idempotency/claim_name.h"
#include "berylspring/idempotency/claim_table.h"
#include "berylspring/idempotency/home_order.h"
#include "berylspring/idempotency/home_selection.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using idempotency::BeginResult;
using idempotency::ClaimStep;
using idempotency::HomeOrder;
using test::section;
using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint Start{1h};
constexpr core::Duration Retention = 600s;
constexpr core::Duration LongUptime = 700s;
constexpr core::Duration ShortUptime = 60s;
const core::Digest request = core::sha256("request");
const std::string name = "w/r/k";

std::vector<core::HostId> hosts(std::size_t count)
{
    std::vector<core::HostId> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        hosts.emplace_back("h" + std::to_string(i));
    }
    return core::rendezvousOrder(name, hosts);
}

std::optional<core::Duration> unknownUptime(const core::HostId &)
{
    return std::nullopt;
}

wire::CallResponse answer(std::string body)
{
    wire::CallResponseFields fields;
    fields.status = 200;
    fields.body = std::move(body);
    return wire::CallResponse(std::move(fields));
}

wire::ClaimRequest
claimOf(const std::string &home, std::uint64_t attempt, wire::ClaimState state, bool isRelease = false)
{
    wire::ClaimRecordFields record;
    record.name = name;
    record.home = core::HostId(home);
    record.boot = 7;
    record.attempt = attempt;
    record.requestDigest = request;
    record.state = state;
    return wire::ClaimRequest({wire::ClaimRecord(record), isRelease});
}

}

TEST_GROUP(OneNameOnThreeHosts){};

TEST(OneNameOnThreeHosts, belongsToOneDataCentre)
{
    const std::vector<core::DataCentreId> declared{core::DataCentreId("west"), core::DataCentreId("east")};
    const idempotency::HomeSelection selection(declared);
    const core::WorkspaceId workspace("w");
    const core::RouteId route("r");
    section("the prefix of the key selects it", [&] {
        const auto placed = idempotency::claimName(workspace, route, "west/order-1");
        CHECK(selection.dataCentreOf(placed) == core::DataCentreId("west"));
        CHECK(idempotency::keyOf(placed) == "west/order-1");
    });
    section("a key with an undeclared prefix is hashed to the same data centre on every node", [&] {
        const auto placed = idempotency::claimName(workspace, route, "north/order-1");
        const idempotency::HomeSelection reordered({declared[1], declared[0], declared[0]});
        CHECK(selection.dataCentreOf(placed) == reordered.dataCentreOf(placed));
    });
    section("a generated key stays in the data centre of its entry", [&] {
        const auto key = idempotency::oneTimeKey(declared[0], [] { return 5; });
        CHECK(selection.dataCentreOf(idempotency::claimName(workspace, route, key)) == declared[0]);
    });
}

// Guards against a new home that runs a name again because the holders of its record are gone or other hosts rank above
// them.
TEST(OneNameOnThreeHosts, isScannedDownToAHostThatHasKeptAllRecords)
{
    const auto ranked = hosts(8);
    const auto orderOf = [](const std::vector<core::HostId> &live, const std::vector<core::HostId> &recent) {
        return HomeOrder(name, live, recent, Retention);
    };
    section("a home that has kept records for the whole retention needs one standby", [&] {
        const auto order = orderOf(ranked, ranked);
        CHECK(order.next({{ranked[0], LongUptime}}, unknownUptime) == (ClaimStep{ClaimStep::Kind::Ask, {ranked[1]}}));
        CHECK(order.next({{ranked[0], LongUptime}, {ranked[1], ShortUptime}}, unknownUptime).kind
              == ClaimStep::Kind::Proceed);
    });
    section("a standby that other nodes may not know yet does not count", [&] {
        const auto order = orderOf(ranked, ranked);
        const auto step = order.next({{ranked[0], LongUptime}, {ranked[1], 1s}}, unknownUptime);
        CHECK(step == (ClaimStep{ClaimStep::Kind::Ask, {ranked[2]}}));
    });
    section("a home that joined recently asks until a standby has kept records for the whole retention", [&] {
        const auto order = orderOf(ranked, ranked);
        const auto first = order.next({{ranked[0], ShortUptime}}, unknownUptime);
        CHECK(first == (ClaimStep{ClaimStep::Kind::Ask, {ranked[1], ranked[2], ranked[3]}}));
        const auto second = order.next({{ranked[0], ShortUptime}, {ranked[1], ShortUptime}}, [&](const auto &host) {
            return std::optional(host == ranked[2] ? LongUptime : ShortUptime);
        });
        CHECK(second == (ClaimStep{ClaimStep::Kind::Ask, {ranked[2]}}));
    });
    section("the records are lost if the two highest-ranked recent hosts are gone", [&] {
        const std::vector<core::HostId> live(ranked.begin() + 2, ranked.end());
        const std::map<core::HostId, core::Duration> held{{live[0], LongUptime}, {live[1], LongUptime}};
        CHECK(orderOf(live, ranked).next(held, unknownUptime).kind == ClaimStep::Kind::RecordsLost);
        const std::vector<core::HostId> oneGone(ranked.begin() + 1, ranked.end());
        CHECK(orderOf(live, oneGone).next(held, unknownUptime).kind == ClaimStep::Kind::Proceed);
    });
    section("a host that restarted without its records counts as gone", [&] {
        auto recent = ranked;
        recent.insert(recent.end(), {ranked[0], ranked[1], ranked[1]});
        const auto order = orderOf(ranked, recent);
        std::map<core::HostId, core::Duration> held{
            {ranked[0], ShortUptime}, {ranked[1], ShortUptime}, {ranked[2], LongUptime}};
        CHECK(order.next(held, unknownUptime).kind == ClaimStep::Kind::RecordsLost);
        section("unless it was only paused: it may lack claims from the pause, so more hosts are asked", [&] {
            held[ranked[0]] = held[ranked[1]] = LongUptime;
            CHECK(order.next(held, unknownUptime).kind == ClaimStep::Kind::Proceed);
            held.erase(ranked[2]);
            const auto step = order.next(held, unknownUptime);
            CHECK(step == (ClaimStep{ClaimStep::Kind::Ask, {ranked[2], ranked[3], ranked[4], ranked[5]}}));
        });
    });
    section("the records are lost if a home that started recently has lost all of its older peers", [&] {
        const std::vector<core::HostId> live{ranked[0]};
        const std::vector<core::HostId> recent{ranked[0], ranked[4], ranked[5]};
        const std::map<core::HostId, core::Duration> held{{ranked[0], ShortUptime}};
        CHECK(orderOf(live, recent).next(held, unknownUptime).kind == ClaimStep::Kind::RecordsLost);
        section("unless all hosts started together", [&] {
            const auto sameUptime = [](const auto &) { return std::optional(ShortUptime); };
            CHECK(orderOf(live, recent).next(held, sameUptime).kind == ClaimStep::Kind::Proceed);
        });
    });
    section("a home without any peers proceeds", [&] {
        const auto order = orderOf({ranked[0]}, {ranked[0]});
        CHECK(order.next({{ranked[0], ShortUptime}}, unknownUptime).kind == ClaimStep::Kind::Proceed);
    });
}

TEST(OneNameOnThreeHosts, runsOnceOnItsHome)
{
    idempotency::ClaimTable table(core::HostId("home"), 7, {});
    const auto begin = table.begin(name, request, Start);
    CHECK(begin.kind == BeginResult::Kind::Start);
    section("a resend waits while the request runs, a different request is refused", [&] {
        CHECK(table.begin(name, request, Start).kind == BeginResult::Kind::Wait);
        CHECK(table.begin(name, core::sha256("other"), Start).kind == BeginResult::Kind::Mismatch);
    });
    section("a later resend gets the stored response until the retention ends", [&] {
        CHECK(table.markDispatched(name, *begin.owner));
        CHECK_FALSE(table.markDispatched(name, *begin.owner));
        table.storeAnswer(name, *begin.owner, answer("done"));
        CHECK((*table.begin(name, request, Start + 599s).response)->body == "done");
        CHECK(table.begin(name, request, Start + 600s).kind == BeginResult::Kind::Start);
    });
}

// Guards against a delayed message that removes a later claim, or that restores a claim after its release.
TEST(OneNameOnThreeHosts, isProtectedByTheStandby)
{
    idempotency::ClaimTable standby(core::HostId("standby"), 1, {});
    using wire::ClaimState;
    CHECK(standby.accept(claimOf("a", 1, ClaimState::Dispatched), Start)->isAccepted);
    section("a claim of another home is refused with the existing record", [&] {
        const auto reply = standby.accept(claimOf("b", 1, ClaimState::Dispatched), Start);
        CHECK_FALSE(reply->isAccepted);
        CHECK((*reply->existing)->home == core::HostId("a"));
    });
    section("the same process may claim again, and messages of its earlier attempt are refused", [&] {
        CHECK(standby.accept(claimOf("a", 2, ClaimState::Dispatched), Start)->isAccepted);
        CHECK_FALSE(standby.accept(claimOf("a", 1, ClaimState::Released, true), Start)->isAccepted);
        CHECK_FALSE(standby.accept(claimOf("a", 1, ClaimState::Claimed, true), Start)->isAccepted);
        CHECK(standby.find(name, Start)->state() == ClaimState::Dispatched);
    });
    section("a release frees the name, and a delayed copy of the released claim is refused", [&] {
        CHECK(standby.accept(claimOf("a", 2, ClaimState::Released, true), Start)->isAccepted);
        CHECK_FALSE(standby.accept(claimOf("a", 2, ClaimState::Dispatched), Start)->isAccepted);
        const auto next = standby.accept(claimOf("b", 1, ClaimState::Dispatched), Start + 1s);
        CHECK(next->isAccepted);
        CHECK((*next->existing)->state == ClaimState::Released);
        CHECK((*next->existing)->age == 1s);
    });
    section("withdrawing a claim restores the release before it", [&] {
        CHECK(standby.accept(claimOf("b", 1, ClaimState::Claimed, true), Start + 2s)->isAccepted);
        CHECK(standby.find(name, Start + 2s)->state() == ClaimState::Released);
        CHECK(standby.find(name, Start + 2s)->created() == Start);
    });
}

// Guards against a send that was delayed in the network and runs after its name was answered with `not-run`.
TEST(OneNameOnThreeHosts, doesNotRunForASendThatIsOlderThanItsRelease)
{
    idempotency::ClaimTable table(core::HostId("home"), 7, {});
    const auto first = table.begin(name, request, Start);
    table.release(name, *first.owner, Start + 1s);
    section("a send whose age exceeds the time since the release is earlier", [&] {
        CHECK(table.begin(name, request, Start + 2s, {1500ms, 0}).kind == BeginResult::Kind::Earlier);
    });
    section("a smaller age may hide a long transit time, so the home sends a challenge", [&] {
        CHECK(table.begin(name, request, Start + 2s, {1ms, 0}).kind == BeginResult::Kind::Challenge);
        const auto challenge = idempotency::SendTime::challengeAt(Start + 2s);
        CHECK(table.begin(name, request, Start + 3s, {1500ms, challenge}).kind == BeginResult::Kind::Challenge);
        CHECK(table.begin(name, request, Start + 3s, {2500ms, challenge}).kind == BeginResult::Kind::Earlier);
        CHECK(table.begin(name, request, Start + 3s, {500ms, challenge}).kind == BeginResult::Kind::Start);
    });
}

// Guards against unbounded memory, and against a name that runs again because its stored response was evicted.
TEST(OneNameOnThreeHosts, isNotForgottenWhenMemoryIsShort)
{
    constexpr std::size_t Limit = 1600;
    idempotency::ClaimTable table(core::HostId("home"), 7, {600s, Limit, 1600});
    std::size_t unknown = 0;
    for (int i = 0; i < 200; ++i) {
        const std::string other = "w/r/" + std::to_string(i);
        const auto begin = table.begin(other, request, Start);
        table.storeAnswer(other, *begin.owner, answer(std::string(30, 'x')));
        CHECK(table.storedBytes() <= Limit);
    }
    for (int i = 0; i < 200; ++i) {
        const auto kind = table.begin("w/r/" + std::to_string(i), request, Start).kind;
        CHECK(kind == BeginResult::Kind::Replay || kind == BeginResult::Kind::Unknown);
        unknown += kind == BeginResult::Kind::Unknown ? 1 : 0;
    }
    LONGS_EQUAL(table.droppedAnswers(), unknown);
    CHECK(unknown > 0);
    section("expired records are removed", [&] {
        table.expire(Start + 600s);
        LONGS_EQUAL(0, table.size());
        LONGS_EQUAL(0, table.storedBytes());
    });
}
