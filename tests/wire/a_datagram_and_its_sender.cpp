#include "berylspring/wire/datagram_codec.h"
#include "support/section.h"
#include "wire/datagram_format.h"
#include "wire/generators.h"
#include "wire/replay_window.h"

#include <atomic>
#include <cstdint>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;
using wire::DatagramCodec;
using wire::detail::ReplayWindow;
namespace any = berylspring::test::any;

namespace {

wire::Datagram smallDatagram()
{
    return wire::OffsetNotice();
}

wire::Datagram pingWith(std::size_t updateCount)
{
    wire::MemberUpdateFields update;
    update.dataCentre = core::DataCentreId("north-1");
    update.address = "10.100.100.100";
    update.port = 7400;
    update.incarnation = 1'800'000'000;
    update.version = 1000;
    update.appliedOffset = 1'000'000;
    update.endpoint = wire::EndpointState({core::ServiceId("visit-history"), 70, false, 35, 2});
    wire::PingFields ping{1, wire::MemberUpdate(update), {}};
    for (std::size_t i = 0; i < updateCount; ++i) {
        update.host = core::HostId("host-" + std::to_string(10'000 + i));
        ping.updates.emplace_back(update);
    }
    return wire::Ping(ping);
}

}

TEST_GROUP(ADatagramAndItsSender)
{
    DatagramCodec receiver{"fleet secret", core::HostId("receiver"), 1};
    DatagramCodec sender{"fleet secret", core::HostId("sender"), 10};

    void checkRefused(const std::string &bytes, wire::ErrorCode code)
    {
        const auto opened = receiver.open(bytes);
        CHECK_FALSE(opened.has_value());
        CHECK(opened.error().code() == code);
    }
};

// Guards against fields that the codec loses, and against pings whose updates do not fit into a datagram.
TEST(ADatagramAndItsSender, arrivesAsItWasSent)
{
    section("for every kind of datagram", [this] {
        checkProperty("round trip", [this] {
            const auto datagram = any::datagram();
            const auto opened = receiver.open(sender.seal(datagram).value()).value();
            RC_ASSERT(opened.datagram == datagram);
            RC_ASSERT(opened.sender == core::HostId("sender"));
            RC_ASSERT(opened.bootId == 10U);
        });
    });
    section("with the eight updates that a ping carries", [this] { CHECK(sender.seal(pingWith(8)).has_value()); });
    section("but not above the size limit", [this] {
        CHECK(sender.seal(pingWith(40)).error().code() == wire::ErrorCode::TooLarge);
        checkRefused(std::string(wire::MaxDatagramBytes + 1, 'x'), wire::ErrorCode::TooLarge);
    });
}

// Guards against membership data forged without the secret or corrupted in transit.
TEST(ADatagramAndItsSender, isRefusedUnlessTheSenderIsAuthenticated)
{
    section("signed with another secret", [this] {
        DatagramCodec impostor("other secret", core::HostId("sender"), 10);
        checkRefused(impostor.seal(smallDatagram()).value(), wire::ErrorCode::NotAuthenticated);
    });
    section("damaged in transit", [this] {
        checkProperty("a flipped bit is detected", [this] {
            auto bytes = sender.seal(any::datagram()).value();
            const auto bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
            bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
            RC_ASSERT_FALSE(receiver.open(bytes).has_value());
        });
        checkProperty("truncation is detected", [this] {
            const auto bytes = sender.seal(any::datagram()).value();
            RC_ASSERT_FALSE(receiver.open(bytes.substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size()))));
        });
    });
    section("damaged before it was signed", [] {
        checkProperty("the decoder does not crash", [] {
            auto bytes = wire::detail::encodeDatagram({core::HostId("a"), 1, 1, any::datagram()});
            const auto bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
            bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
            (void)wire::detail::decodeDatagram(bytes);
            (void)wire::detail::decodeDatagram(any::text());
        });
    });
    section("sent under the id of the receiver",
            [this] { checkRefused(receiver.seal(smallDatagram()).value(), wire::ErrorCode::NotAuthenticated); });
}

// Guards against replayed datagrams, also those of an earlier process of the sender and under concurrency.
TEST(ADatagramAndItsSender, isAcceptedOnce)
{
    section("when it is repeated", [this] {
        const auto bytes = sender.seal(smallDatagram()).value();
        CHECK(receiver.open(bytes).has_value());
        checkRefused(bytes, wire::ErrorCode::NotAuthenticated);
    });
    section("when it comes from an earlier process of the sender", [this] {
        const auto early = sender.seal(smallDatagram()).value();
        DatagramCodec restarted("fleet secret", core::HostId("sender"), 11);
        CHECK(receiver.open(restarted.seal(smallDatagram()).value()).has_value());
        checkRefused(early, wire::ErrorCode::NotAuthenticated);
        CHECK(receiver.open(restarted.seal(smallDatagram()).value()).has_value());
    });
    section("when copies arrive on several threads", [this] {
        constexpr int ThreadCount = 4;
        DatagramCodec other("fleet secret", core::HostId("other"), 1);
        std::vector<std::string> datagrams;
        for (std::size_t i = 0; i < ReplayWindow::Width / 2; ++i) {
            datagrams.push_back(other.seal(smallDatagram()).value());
        }
        std::atomic<std::size_t> accepted{0};
        {
            std::vector<std::jthread> threads;
            for (int t = 0; t < ThreadCount; ++t) {
                threads.emplace_back([&] {
                    for (const auto &bytes : datagrams) {
                        accepted += receiver.open(bytes) ? 1 : 0;
                    }
                });
            }
        }
        LONGS_EQUAL(datagrams.size(), accepted.load());
    });
}

// Guards against a replay window that accepts a number twice, or rejects new numbers that arrive out of order.
TEST(ADatagramAndItsSender, isCheckedAgainstTheReplayWindow)
{
    checkProperty("a number is accepted exactly if it is new and within the window", [] {
        ReplayWindow window(1);
        std::set<std::uint64_t> seen;
        const auto numbers = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 700));
        for (const auto number : numbers) {
            const std::uint64_t newest = seen.empty() ? 0 : *seen.rbegin();
            const bool isExpected =
                number > 0 && !seen.contains(number) && (number > newest || newest - number < ReplayWindow::Width);
            const auto next = window.accept(1, number);
            RC_ASSERT(next.has_value() == isExpected);
            if (next) {
                window = *next;
                seen.insert(number);
            }
        }
    });
}
