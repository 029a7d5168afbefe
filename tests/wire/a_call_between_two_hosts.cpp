#include "support/section.h"
#include "wire/fleet.h"

#include <string>
#include <variant>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using boost::asio::awaitable;
using test::Forever;
using wire::Message;

namespace {

wire::Message tombstone(const std::string &operation)
{
    return wire::Tombstone(wire::TombstoneFields{core::KeyId("key"), core::Digest(), operation});
}

awaitable<Message> echo(core::HostId from, Message message)
{
    const auto *request = std::get_if<wire::Tombstone>(&message);
    if (request == nullptr) {
        throw std::runtime_error("unexpected request");
    }
    co_return tombstone(from.value() + " said " + (*request)->operationId);
}

std::string operationOf(const wire::Result<Message> &reply)
{
    const auto *value = reply ? std::get_if<wire::Tombstone>(&*reply) : nullptr;
    return value == nullptr ? "" : (*value)->operationId;
}

}

TEST_GROUP(ACallBetweenTwoHosts)
{
    boost::asio::io_context context;
    test::Addresses addresses;
};

TEST(ACallBetweenTwoHosts, bringsEachAnswerToItsOwnRequest)
{
    constexpr int CallCount = 200;
    wire::PeerServer server(context.get_executor(), test::peerOptions("server"), echo);
    wire::PeerPool pool(context.get_executor(), test::peerOptions("client"), addresses.book());
    addresses.set("server", server.listen("127.0.0.1", 0).value());
    int matched = 0;
    test::runStory(context, 2, [&]() -> awaitable<void> {
        for (int i = 0; i < CallCount; ++i) {
            const Message request = tombstone(std::to_string(i));
            const auto reply = co_await pool.call(core::HostId("server"), request, Forever);
            matched += operationOf(reply) == "client said " + std::to_string(i) ? 1 : 0;
        }
        pool.close();
        server.close();
    });
    LONGS_EQUAL(CallCount, matched);
    LONGS_EQUAL(1, pool.counters().connectionsStarted);
}
