// False positive of GCC 12: it inlines only one half of the frame allocator of Asio's coroutines.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

#include "berylspring/wire/traffic_meter.h"
#include "support/section.h"
#include "wire/fleet.h"

#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using boost::asio::awaitable;
using test::section;
using wire::Message;
using wire::TrafficClass;

namespace {

awaitable<Message> grantNothing(core::HostId, Message)
{
    co_return wire::GrantReply(wire::GrantReplyFields{});
}

wire::PeerOptions
optionsIn(const std::string &host, const std::string &dataCentre, const std::shared_ptr<wire::TrafficMeter> &meter)
{
    wire::PeerOptions options = test::peerOptions(host);
    options.dataCentre = dataCentre;
    options.traffic = meter;
    return options;
}

}

TEST_GROUP(BytesBetweenHosts)
{
    boost::asio::io_context context;
    test::Addresses addresses;
};

// Guards against a part of the traffic between data centres that no counter shows.
TEST(BytesBetweenHosts, areCountedByClassAndDistance)
{
    for (const std::string dataCentre : {"near", "far"}) {
        section("a client in data centre " + dataCentre + " asks a server in near", [&] {
            const auto sentByClient = std::make_shared<wire::TrafficMeter>();
            const auto sentByServer = std::make_shared<wire::TrafficMeter>();
            wire::PeerServer server(context.get_executor(), optionsIn("server", "near", sentByServer), grantNothing);
            wire::PeerPool pool(
                context.get_executor(), optionsIn("client", dataCentre, sentByClient), addresses.lookup());
            addresses.set("server", server.listen("127.0.0.1", 0).value());
            context.restart();
            test::runToCompletion(context, 1, [&]() -> awaitable<void> {
                Message request = wire::GrantRequest(wire::GrantRequestFields{core::WorkspaceId("w"), 1});
                const auto reply = co_await pool.call(core::HostId("server"), std::move(request), test::LongTimeout);
                CHECK(reply.has_value());
                pool.close();
                server.close();
            });
            const bool isRemote = dataCentre == "far";
            for (const auto &meter : {sentByClient, sentByServer}) {
                for (const TrafficClass trafficClass : {TrafficClass::Limit, TrafficClass::Handshake}) {
                    const wire::TrafficCount count = meter->count(trafficClass);
                    CHECK_EQUAL(isRemote, count.betweenDataCentres > 0);
                    CHECK_EQUAL(isRemote, count.withinDataCentre == 0);
                }
                CHECK(meter->count(TrafficClass::Call) == wire::TrafficCount{});
            }
        });
    }
}

// Guards against heartbeats of unused connections that grow with the number of hosts.
TEST(BytesBetweenHosts, areFewOnAConnectionThatIsNotUsed)
{
    const auto sentByClient = std::make_shared<wire::TrafficMeter>();
    const auto sentByServer = std::make_shared<wire::TrafficMeter>();
    wire::PeerOptions serverOptions = optionsIn("server", "near", sentByServer);
    wire::PeerOptions clientOptions = optionsIn("client", "far", sentByClient);
    for (wire::PeerOptions *options : {&serverOptions, &clientOptions}) {
        options->heartbeatInterval = std::chrono::milliseconds(5);
        options->idleHeartbeatInterval = std::chrono::milliseconds(100);
        options->remoteIdleTimeout = std::chrono::milliseconds(300);
    }
    wire::PeerServer server(context.get_executor(), serverOptions, grantNothing);
    wire::PeerPool pool(context.get_executor(), clientOptions, addresses.lookup());
    addresses.set("server", server.listen("127.0.0.1", 0).value());
    test::runToCompletion(context, 1, [&]() -> awaitable<void> {
        Message request = wire::GrantRequest(wire::GrantRequestFields{core::WorkspaceId("w"), 1});
        const auto reply = co_await pool.call(core::HostId("server"), std::move(request), test::LongTimeout);
        CHECK(reply.has_value());
        boost::asio::steady_timer timer(context);
        while (pool.counters().connections > 0) {
            timer.expires_after(std::chrono::milliseconds(5));
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        server.close();
    });
    section("the connection is closed in an orderly way", [&] { LONGS_EQUAL(0, pool.counters().connectionsLost); });
    section("each end has sent less than a heartbeat per idle interval and some for its use", [&] {
        constexpr std::uint64_t HeartbeatBytes = 64;
        for (const auto &meter : {sentByClient, sentByServer}) {
            CHECK(meter->count(TrafficClass::KeepAlive).betweenDataCentres <= 8 * HeartbeatBytes);
        }
    });
}
