#include "support/section.h"
#include "wire/fleet.h"
#include "wire/scripted_peer.h"

#include <atomic>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using test::Event;
using test::LongTimeout;
using test::ScriptedPeer;
using test::section;
using wire::Message;
using wire::detail::RequestKey;

namespace {

const core::HostId serverHost("server");

Message refused(const std::string &detail)
{
    return wire::Refused(wire::RefusedFields{detail});
}

std::string detailOf(const wire::Result<Message> &reply)
{
    const auto *value = reply ? std::get_if<wire::Refused>(&*reply) : nullptr;
    return value == nullptr ? "" : (*value)->detail;
}

}

TEST_GROUP(ACallThatEndsEarly)
{
    boost::asio::io_context context;
    test::Addresses addresses;
    std::optional<Event> started{context};
    std::optional<Event> cancelled{context};

    /** @brief A handler that runs until it is cancelled. */
    wire::PeerHandler waiting()
    {
        return [this](core::HostId, Message) -> awaitable<Message> {
            started->signal();
            boost::asio::steady_timer timer(context, LongTimeout);
            boost::system::error_code error;
            auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
            co_await timer.async_wait(token);
            if (error == boost::asio::error::operation_aborted) {
                cancelled->signal();
            }
            co_return wire::Ack();
        };
    }

    void runCoroutine(const std::function<awaitable<void>()> &body)
    {
        context.restart();
        started.emplace(context);
        cancelled.emplace(context);
        test::runToCompletion(context, 1, body);
    }
};

// Guards against handlers that keep running after the caller has gone.
TEST(ACallThatEndsEarly, cancelsItsHandler)
{
    section("when the awaiting coroutine is cancelled", [this] {
        wire::PeerServer server(context.get_executor(), test::peerOptions("server"), waiting());
        wire::PeerPool pool(context.get_executor(), test::peerOptions("client"), addresses.lookup());
        addresses.set("server", server.listen("127.0.0.1", 0).value());
        boost::asio::cancellation_signal signal;
        std::optional<wire::Result<Message>> reply;
        const auto calling = [&]() -> awaitable<void> {
            reply = co_await pool.call(serverHost, refused("x"), LongTimeout);
        };
        boost::asio::co_spawn(
            context, calling, boost::asio::bind_cancellation_slot(signal.slot(), boost::asio::detached));
        runCoroutine([&]() -> awaitable<void> {
            co_await started->wait();
            signal.emit(boost::asio::cancellation_type::terminal);
            co_await cancelled->wait();
            CHECK(reply.has_value());
            CHECK(reply->error().code() == wire::ErrorCode::Cancelled);
            CHECK(reply->error().maybeSent());
            pool.close();
            server.close();
        });
    });
    section("when its connection ends", [this] {
        wire::PeerServer server(context.get_executor(), test::peerOptions("server"), waiting());
        const auto port = server.listen("127.0.0.1", 0).value();
        runCoroutine([&]() -> awaitable<void> {
            auto client = co_await ScriptedPeer::connect(port, "fleet secret", "client");
            co_await client->send(RequestKey{1, 1}, refused("x"));
            co_await started->wait();
            client.reset();
            co_await cancelled->wait();
            server.close();
        });
    });
    section("when the server closes, and the caller learns that it may have run", [this] {
        wire::PeerServer server(context.get_executor(), test::peerOptions("server"), waiting());
        wire::PeerPool pool(context.get_executor(), test::peerOptions("client"), addresses.lookup());
        addresses.set("server", server.listen("127.0.0.1", 0).value());
        const auto closing = [&]() -> awaitable<void> {
            co_await started->wait();
            server.close();
        };
        runCoroutine([&]() -> awaitable<void> {
            boost::asio::co_spawn(context, closing, boost::asio::detached);
            const auto reply = co_await pool.call(serverHost, refused("x"), LongTimeout);
            CHECK(reply.error().code() == wire::ErrorCode::ConnectionLost);
            CHECK(reply.error().maybeSent());
            co_await cancelled->wait();
        });
    });
}

// Guards against a wrong maybeSent(): false for a request that may have run, or true where a retry would be safe.
TEST(ACallThatEndsEarly, tellsWhetherItMayHaveBeenSent)
{
    wire::PeerPool pool(context.get_executor(), test::peerOptions("client"), addresses.lookup());
    const auto check = [&](const Message &request, wire::ErrorCode code) -> awaitable<void> {
        const auto reply = co_await pool.call(serverHost, request, LongTimeout);
        CHECK_FALSE(reply.has_value());
        CHECK(reply.error().code() == code);
        CHECK_FALSE(reply.error().maybeSent());
    };
    runCoroutine([&]() -> awaitable<void> {
        co_await check(refused("no address"), wire::ErrorCode::Unreachable);
        {
            boost::asio::ip::tcp::acceptor unused(context, {boost::asio::ip::address_v4::loopback(), 0});
            addresses.set("server", unused.local_endpoint().port());
        }
        co_await check(refused("nobody listens"), wire::ErrorCode::Unreachable);
        wire::PeerServer server(context.get_executor(), test::peerOptions("server"), waiting());
        addresses.set("server", server.listen("127.0.0.1", 0).value());
        co_await check(refused(std::string(std::size_t{5} << 20, 'x')), wire::ErrorCode::TooLarge);
        const auto late = co_await pool.call(serverHost, refused("no time"), 0ms);
        CHECK(late.error().code() == wire::ErrorCode::Timeout);
        CHECK_FALSE(late.error().maybeSent());
        pool.close();
        co_await check(refused("closed"), wire::ErrorCode::Unreachable);
    });
}

// Guards against callers that wait until the timeout although the handler cannot answer.
TEST(ACallThatEndsEarly, isRefusedWhenItsHandlerHasNoAnswer)
{
    const auto handler = [](core::HostId, Message request) -> awaitable<Message> {
        const bool mustThrow = std::get<wire::Refused>(request)->detail == "throw";
        if (mustThrow) {
            throw std::runtime_error("handler failed");
        }
        co_return refused(std::string(std::size_t{5} << 20, 'x'));
    };
    wire::PeerServer server(context.get_executor(), test::peerOptions("server"), handler);
    wire::PeerPool pool(context.get_executor(), test::peerOptions("client"), addresses.lookup());
    addresses.set("server", server.listen("127.0.0.1", 0).value());
    runCoroutine([&]() -> awaitable<void> {
        const auto failed = co_await pool.call(serverHost, refused("throw"), LongTimeout);
        CHECK(detailOf(failed) == "handler failed");
        const auto tooLarge = co_await pool.call(serverHost, refused("large"), LongTimeout);
        CHECK(detailOf(tooLarge) == "message is larger than a frame");
        pool.close();
        server.close();
    });
}

// Guards against calls on connections to a terminated process, and against idle connections that stay open.
TEST(ACallThatEndsEarly, leavesNoConnectionBehind)
{
    section("to an earlier start of the peer", [this] {
        wire::PeerPool pool(context.get_executor(), test::peerOptions("client"), addresses.lookup());
        const auto handler = [](const std::string &name) -> wire::PeerHandler {
            return [name](core::HostId, Message) -> awaitable<Message> { co_return refused(name); };
        };
        wire::PeerServer before(context.get_executor(), test::peerOptions("server"), handler("before"));
        auto options = test::peerOptions("server");
        options.bootId = 2;
        wire::PeerServer after(context.get_executor(), options, handler("after"));
        runCoroutine([&]() -> awaitable<void> {
            addresses.set("server", before.listen("127.0.0.1", 0).value());
            const auto first = co_await pool.call(serverHost, refused("x"), LongTimeout);
            CHECK(detailOf(first) == "before");
            addresses.set("server", after.listen("127.0.0.1", 0).value());
            pool.closeOutdatedConnections(serverHost, 1);
            LONGS_EQUAL(1, pool.counters().connections);
            pool.closeOutdatedConnections(serverHost, 2);
            LONGS_EQUAL(0, pool.counters().connections);
            const auto second = co_await pool.call(serverHost, refused("x"), LongTimeout);
            CHECK(detailOf(second) == "after");
            pool.close();
            before.close();
            after.close();
        });
    });
    section("that nobody uses", [this] {
        boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
        addresses.set("server", acceptor.local_endpoint().port());
        auto options = test::peerOptions("client");
        options.heartbeatInterval = 10ms;
        options.idleTimeout = 20ms;
        wire::PeerPool pool(context.get_executor(), options, addresses.lookup());
        const auto calling = [&]() -> awaitable<void> {
            (void)co_await pool.call(serverHost, refused("x"), LongTimeout);
        };
        runCoroutine([&]() -> awaitable<void> {
            boost::asio::co_spawn(context, calling, boost::asio::detached);
            auto peer = co_await ScriptedPeer::accept(acceptor, "fleet secret", "server", 1);
            const auto request = co_await peer.receive();
            co_await peer.send(request->key, refused("answer"));
            const auto end = co_await peer.receive();
            CHECK_FALSE(end.has_value());
            LONGS_EQUAL(0, pool.counters().connections);
            LONGS_EQUAL(0, pool.counters().connectionsLost);
            pool.close();
        });
    });
}
