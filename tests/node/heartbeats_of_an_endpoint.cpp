#include "berylspring/node/local_endpoint.h"
#include "support/section.h"

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using node::LocalEndpoint;
using test::section;
using HeartbeatResult = LocalEndpoint::HeartbeatResult;

namespace {

http::EndpointHeartbeat heartbeatOf(std::uint64_t incarnation, std::uint64_t sequence, bool isDraining = false)
{
    return {.announcement = {.service = core::ServiceId("visits"),
                             .address = "127.0.0.1:9",
                             .slots = 4,
                             .id = "i-" + std::to_string(incarnation),
                             .incarnation = incarnation},
            .sequence = sequence,
            .isDraining = isDraining};
}

}

TEST_GROUP(HeartbeatsOfAnEndpoint)
{
    boost::asio::io_context context;
    node::Protocols protocols = node::nativeProtocols();
    node::InFlightTable inFlight{core::systemRandom()};
    LocalEndpoint endpoint{
        context.get_executor(), 1024, protocols, inFlight, core::systemRandom(), [](const telemetry::Span &) {}};
    core::TimePoint now{1h};

    HeartbeatResult send(const http::EndpointHeartbeat &heartbeat)
    {
        return endpoint.heartbeat(heartbeat, now);
    }
};

// Guards against a delayed heartbeat that registers an endpoint again after it has stopped.
TEST(HeartbeatsOfAnEndpoint, countInTheOrderInWhichTheyWereSent)
{
    CHECK(send(heartbeatOf(5, 1)) == HeartbeatResult::Started);
    CHECK(send(heartbeatOf(5, 2)) == HeartbeatResult::Renewed);
    section("a lower sequence number is ignored", [&] { CHECK(send(heartbeatOf(5, 1)) == HeartbeatResult::Stale); });
    section("a later incarnation takes over, with its own sequence numbers", [&] {
        CHECK(send(heartbeatOf(6, 1)) == HeartbeatResult::Started);
        CHECK(endpoint.leave({.id = "i-6"}));
    });
    section("an earlier incarnation is ignored, whatever its sequence number", [&] {
        CHECK(send(heartbeatOf(5, 99)) == HeartbeatResult::Stale);
        CHECK_FALSE(endpoint.leave({.id = "i-5"}));
        CHECK(endpoint.leave({.id = "i-6"}));
    });
}

// Guards against new requests to an endpoint that is draining.
TEST(HeartbeatsOfAnEndpoint, doNotEndADrain)
{
    CHECK(send(heartbeatOf(5, 1)) == HeartbeatResult::Started);
    CHECK(send(heartbeatOf(5, 2, true)) == HeartbeatResult::Draining);
    CHECK(endpoint.isDraining());
    section("not with a later sequence number", [&] {
        CHECK(send(heartbeatOf(5, 3)) == HeartbeatResult::Renewed);
        CHECK(endpoint.isDraining());
    });
    section("only with a new incarnation", [&] {
        CHECK(send(heartbeatOf(6, 1)) == HeartbeatResult::Started);
        CHECK_FALSE(endpoint.isDraining());
    });
}

// Guards against a heartbeat that arrives after its endpoint has left, at a node that restarted in between: the node
// has no registration to compare it with and would send requests to an endpoint that is shutting down.
TEST(HeartbeatsOfAnEndpoint, doNotBringBackOneThatLeftBeforeItWasHeardOf)
{
    section("an unknown endpoint leaves", [&] { CHECK_FALSE(endpoint.leave({.id = "i-5", .lastIncarnation = 7})); });
    section("its delayed heartbeat is ignored", [&] {
        CHECK(send(heartbeatOf(5, 21)) == HeartbeatResult::Stale);
        LONGS_EQUAL(0, endpoint.slots(now));
    });
    section("a later incarnation is registered, even under the same id", [&] {
        http::EndpointHeartbeat again = heartbeatOf(5, 1);
        again.announcement.incarnation = 8;
        CHECK(send(again) == HeartbeatResult::Started);
    });
    section("another endpoint is registered", [&] { CHECK(send(heartbeatOf(9, 1)) == HeartbeatResult::Started); });
}

// Guards against a leave that is acknowledged but has no effect, because the clock of the host was set back after the
// endpoint had started.
TEST(HeartbeatsOfAnEndpoint, doNotBringBackOneThatLeftBehindTheClock)
{
    CHECK(send(heartbeatOf(5, 1)) == HeartbeatResult::Started);
    section("the registered endpoint ends", [&] { CHECK_TRUE(endpoint.leave({.id = "i-5", .lastIncarnation = 4})); });
    section("its delayed heartbeat is ignored after another endpoint has started", [&] {
        CHECK(send(heartbeatOf(6, 1)) == HeartbeatResult::Started);
        CHECK(send(heartbeatOf(5, 2)) == HeartbeatResult::Stale);
    });
}

// Guards against requests to an endpoint that has stopped without leaving.
TEST(HeartbeatsOfAnEndpoint, mustComeAgain)
{
    CHECK(send(heartbeatOf(5, 1)) == HeartbeatResult::Started);
    LONGS_EQUAL(4, endpoint.slots(now + LocalEndpoint::AnnouncementLifetime));
    LONGS_EQUAL(0, endpoint.slots(now + LocalEndpoint::AnnouncementLifetime + 1ms));
}

// Guards against a heartbeat of another writer, with an incarnation or a sequence number far ahead, that shuts out the
// endpoint of this host for good: every later heartbeat would count as late.
TEST(HeartbeatsOfAnEndpoint, countAgainWhenAHigherOneIsNotRenewed)
{
    section("while the higher one is current, the others are late", [&] {
        CHECK(send(heartbeatOf(5, 1)) == HeartbeatResult::Started);
        CHECK(send(heartbeatOf(9, 1'000'000)) == HeartbeatResult::Started);
        now += LocalEndpoint::AnnouncementLifetime;
        CHECK(send(heartbeatOf(5, 2)) == HeartbeatResult::Stale);
        CHECK(send(heartbeatOf(9, 3)) == HeartbeatResult::Stale);
    });
    section("after its lifetime, an earlier incarnation is registered again", [&] {
        now += 1ms;
        CHECK(send(heartbeatOf(5, 3)) == HeartbeatResult::Started);
        CHECK(endpoint.leave({.id = "i-5"}));
    });
    section("after its lifetime, a lower sequence number renews the same endpoint, as do those that follow", [&] {
        CHECK(send(heartbeatOf(5, 1'000'000)) == HeartbeatResult::Renewed);
        now += LocalEndpoint::AnnouncementLifetime + 1ms;
        CHECK(send(heartbeatOf(5, 4)) == HeartbeatResult::Renewed);
        CHECK(send(heartbeatOf(5, 5)) == HeartbeatResult::Renewed);
        CHECK(send(heartbeatOf(5, 5)) == HeartbeatResult::Stale);
        LONGS_EQUAL(4, endpoint.slots(now));
    });
    section("an endpoint that drains is not brought back", [&] {
        CHECK(send(heartbeatOf(5, 6, true)) == HeartbeatResult::Draining);
        now += LocalEndpoint::AnnouncementLifetime + 1ms;
        CHECK(send(heartbeatOf(4, 9)) == HeartbeatResult::Stale);
        CHECK(send(heartbeatOf(5, 5)) == HeartbeatResult::Stale);
        CHECK(endpoint.isDraining());
    });
}

// Guards against an endpoint that is in service again although an earlier process has acknowledged that it drains.
TEST(HeartbeatsOfAnEndpoint, doNotBringBackOneThatLeftAnEarlierProcess)
{
    const node::EndpointLeaves earlier({{"i-5", 5}, {"i-6", 6}});
    section("one that is not registered yet is ignored", [&] {
        CHECK_FALSE(endpoint.restoreLeaves(earlier));
        CHECK(send(heartbeatOf(5, 2)) == HeartbeatResult::Stale);
        CHECK(send(heartbeatOf(6, 2, true)) == HeartbeatResult::Stale);
    });
    section("one that was registered before its leave became known has to be drained", [&] {
        CHECK(send(heartbeatOf(7, 1)) == HeartbeatResult::Started);
        CHECK(endpoint.restoreLeaves(node::EndpointLeaves({{"i-7", 7}})));
        endpoint.drain();
        CHECK_FALSE(endpoint.restoreLeaves(node::EndpointLeaves({{"i-7", 7}})));
    });
    section("the leaves of this process are added to them, the oldest are dropped", [&] {
        for (std::uint64_t incarnation = 10; incarnation < 10 + node::EndpointLeaves::MaxLeaves; ++incarnation) {
            CHECK(send(heartbeatOf(incarnation, 1)) == HeartbeatResult::Started);
            CHECK(send(heartbeatOf(incarnation, 2, true)) == HeartbeatResult::Draining);
        }
        LONGS_EQUAL(node::EndpointLeaves::MaxLeaves, endpoint.leaves().list().size());
        CHECK(endpoint.leaves().cover("i-10", 10));
        CHECK_FALSE(endpoint.leaves().cover("i-7", 7));
    });
    section("the leave that follows a drain changes nothing that would have to be stored again", [&] {
        const node::EndpointLeaves drained = endpoint.leaves();
        CHECK(endpoint.leave({.id = drained.list().back().id, .lastIncarnation = 99}));
        CHECK(endpoint.leaves() == drained);
    });
    section("a drain of an endpoint without incarnations is not recorded, since its next start would look the same",
            [&] {
                endpoint.recordDrain(heartbeatOf(0, 1, true));
                CHECK_FALSE(endpoint.leaves().cover("i-0", 0));
            });
}
