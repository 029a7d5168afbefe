#include "berylspring/node/local_endpoint.h"
#include "support/section.h"

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using node::LocalEndpoint;
using test::section;
using Heartbeat = LocalEndpoint::Heartbeat;

namespace {

http::EndpointHeartbeat told(std::uint64_t incarnation, std::uint64_t sequence, bool isDraining = false)
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
    node::Protocols protocols = node::ownProtocols();
    node::InFlightTable inFlight{core::systemRandom()};
    LocalEndpoint endpoint{
        context.get_executor(), 1024, protocols, inFlight, core::systemRandom(), [](const telemetry::Span &) {}};
    core::TimePoint now{1h};

    Heartbeat tell(const http::EndpointHeartbeat &heartbeat)
    {
        return endpoint.heartbeat(heartbeat, now);
    }
};

// Guards against a delayed heartbeat that registers an endpoint again after it has stopped.
TEST(HeartbeatsOfAnEndpoint, countInTheOrderInWhichTheyWereSent)
{
    CHECK(tell(told(5, 1)) == Heartbeat::Started);
    CHECK(tell(told(5, 2)) == Heartbeat::Renewed);
    section("a lower sequence number is ignored", [&] { CHECK(tell(told(5, 1)) == Heartbeat::Stale); });
    section("a later incarnation takes over, with its own sequence numbers", [&] {
        CHECK(tell(told(6, 1)) == Heartbeat::Started);
        CHECK(endpoint.leave({.id = "i-6"}));
    });
    section("an earlier incarnation is ignored, whatever its sequence number", [&] {
        CHECK(tell(told(5, 99)) == Heartbeat::Stale);
        CHECK_FALSE(endpoint.leave({.id = "i-5"}));
        CHECK(endpoint.leave({.id = "i-6"}));
    });
}

// Guards against new requests to an endpoint that is draining.
TEST(HeartbeatsOfAnEndpoint, doNotEndADrain)
{
    CHECK(tell(told(5, 1)) == Heartbeat::Started);
    CHECK(tell(told(5, 2, true)) == Heartbeat::Draining);
    CHECK(endpoint.isDraining());
    section("not with a later sequence number", [&] {
        CHECK(tell(told(5, 3)) == Heartbeat::Renewed);
        CHECK(endpoint.isDraining());
    });
    section("only with a new incarnation", [&] {
        CHECK(tell(told(6, 1)) == Heartbeat::Started);
        CHECK_FALSE(endpoint.isDraining());
    });
}

// Guards against a heartbeat that arrives after its endpoint has left, at a node that restarted in between: the node
// has no registration to compare it with and would send requests to an endpoint that is shutting down.
TEST(HeartbeatsOfAnEndpoint, doNotBringBackOneThatLeftBeforeItWasHeardOf)
{
    section("an unknown endpoint leaves", [&] { CHECK_FALSE(endpoint.leave({.id = "i-5", .lastIncarnation = 7})); });
    section("its delayed heartbeat is ignored", [&] {
        CHECK(tell(told(5, 21)) == Heartbeat::Stale);
        LONGS_EQUAL(0, endpoint.slots(now));
    });
    section("a later incarnation is registered, even under the same id", [&] {
        http::EndpointHeartbeat again = told(5, 1);
        again.announcement.incarnation = 8;
        CHECK(tell(again) == Heartbeat::Started);
    });
    section("another endpoint is registered", [&] { CHECK(tell(told(9, 1)) == Heartbeat::Started); });
}

// Guards against requests to an endpoint that has stopped without leaving.
TEST(HeartbeatsOfAnEndpoint, mustComeAgain)
{
    CHECK(tell(told(5, 1)) == Heartbeat::Started);
    LONGS_EQUAL(4, endpoint.slots(now + LocalEndpoint::AnnouncementLifetime));
    LONGS_EQUAL(0, endpoint.slots(now + LocalEndpoint::AnnouncementLifetime + 1ms));
}
