#include "berylspring/node/cold_rule.h"
#include "berylspring/node/local_endpoint.h"
#include "support/section.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using admission::ColdReason;
using node::LocalEndpoint;
using test::section;

TEST_GROUP(ColdEndpointsOfAHost)
{
    boost::asio::io_context context;
    node::Protocols protocols = node::nativeProtocols();
    node::InFlightTable inFlight{core::systemRandom()};
    int changes = 0;
    LocalEndpoint endpoint{
        context.get_executor(),
        1024,
        protocols,
        inFlight,
        core::systemRandom(),
        [](const telemetry::Span &) {},
        {.coldRule =
             [](const core::ServiceId &) { return admission::ColdRule{.rate = 16, .burst = 8, .coldTime = 3s}; },
         .coldChanged = [this] { ++changes; }}};
    core::TimePoint now{1h};

    void send(core::Duration coldFor, std::uint64_t incarnation = 5)
    {
        // Nothing listens on the port.
        (void)endpoint.heartbeat({.announcement = {.service = core::ServiceId("visits"),
                                                   .address = "127.0.0.1:9",
                                                   .slots = 4,
                                                   .id = "i-5",
                                                   .incarnation = incarnation},
                                  .coldFor = coldFor},
                                 now);
    }
    [[nodiscard]] std::optional<ColdReason> reason() const
    {
        return endpoint.coldLimit().reason(now);
    }
    [[nodiscard]] double publishedRate() const
    {
        return (*endpoint.state(admission::AdmissionState(), now))->coldRate;
    }
    void call()
    {
        boost::asio::co_spawn(
            context, endpoint.call(wire::CallRequest({.remaining = 1s})), [](const auto &, const auto &) {});
        context.restart();
        context.run();
    }
};

// Guards against an endpoint that is sent its full load while it is cold.
TEST(ColdEndpointsOfAHost, areKnownFromHeartbeatsAndFailures)
{
    section("its heartbeat says so, and so does its published state", [&] {
        send(300ms);
        CHECK(reason() == ColdReason::Reported);
        DOUBLES_EQUAL(16, publishedRate(), 0);
        now += 300ms;
        CHECK(reason() == std::nullopt);
        DOUBLES_EQUAL(0, publishedRate(), 0);
    });
    section("a refused connection is reported, and it is cold until the next heartbeat", [&] {
        call();
        LONGS_EQUAL(1, changes);
        CHECK(reason() == ColdReason::ConnectionFailed);
        send(0ms);
        CHECK(reason() == std::nullopt);
    });
    section("without a heartbeat for half the lifetime of an announcement", [&] {
        now += 2501ms;
        CHECK(reason() == ColdReason::HeartbeatOverdue);
        DOUBLES_EQUAL(16, publishedRate(), 0);
        send(0ms);
    });
    section("its data centre was taken back, which a new endpoint does not undo", [&] {
        endpoint.takenBack(now);
        LONGS_EQUAL(2, changes);
        send(0ms, 6);
        now += 2s;
        send(0ms, 6);
        CHECK(reason() == ColdReason::TakenBack);
        now += 1s;
        CHECK(reason() == std::nullopt);
    });
}

// Guards against a bucket that uses all that the deployment tolerates, or any limit where none is configured.
TEST(ColdEndpointsOfAHost, tolerateWhatTheirServiceSays)
{
    const config::Service service({.name = core::ServiceId("visits"), .coldRate = 16, .coldTime = 2s});
    section("half of the excess that the bounds allow is used", [&] {
        const auto rule = node::coldRule(&service, node::DeploymentBounds({.coldExcess = 1.5, .coldSlack = 8}));
        CHECK(rule == (admission::ColdRule{.rate = 16, .burst = 8, .coldTime = 2s}));
    });
    section("without bounds there is no burst", [&] {
        CHECK(node::coldRule(&service, {}) == (admission::ColdRule{.rate = 16, .burst = 1, .coldTime = 2s}));
    });
    section("without a rate there is no limit", [&] {
        const config::Service any({.name = core::ServiceId("visits")});
        CHECK(node::coldRule(nullptr, {}) == admission::ColdRule());
        CHECK(node::coldRule(&any, {}) == admission::ColdRule());
    });
}
