#include "support/section.h"
#include "wire/fleet.h"
#include "wire/scripted_peer.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using test::LongTimeout;
using test::ScriptedPeer;
using test::section;
using wire::Message;
using wire::detail::Envelope;
using wire::detail::RequestKey;
using Tcp = boost::asio::ip::tcp;

namespace {

const std::string fleetSecret = "fleet secret";
const core::HostId serverHost("server");

Message refused(const std::string &detail)
{
    return wire::Refused(wire::RefusedFields{detail});
}

std::string detailOf(const Message &message)
{
    const auto *value = std::get_if<wire::Refused>(&message);
    return value == nullptr ? "" : (*value)->detail;
}

std::string detailOf(const wire::Result<Message> &reply)
{
    return reply ? detailOf(*reply) : "";
}

std::string detailOf(const std::optional<Envelope> &frame)
{
    const auto *message = frame ? std::get_if<Message>(&frame->payload) : nullptr;
    return message == nullptr ? "" : detailOf(*message);
}

void checkError(const wire::Result<Message> &reply, wire::ErrorCode code, bool maybeSent)
{
    CHECK_FALSE(reply.has_value());
    CHECK(reply.error().code() == code);
    CHECK_EQUAL(maybeSent, reply.error().maybeSent());
}

/** @brief Options with short timeouts; no result depends on the speed of the machine. */
wire::PeerOptions shortTimeouts(const std::string &host)
{
    auto options = test::peerOptions(host);
    options.heartbeatInterval = 10ms;
    options.silenceTimeout = 100ms;
    return options;
}

}

TEST_GROUP(APeerThatMisbehaves)
{
    boost::asio::io_context context;
    test::Addresses addresses;
    int handled = 0;

    Tcp::acceptor listenAsServer()
    {
        Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        addresses.set("server", acceptor.local_endpoint().port());
        return acceptor;
    }

    wire::PeerHandler echo()
    {
        return [this](core::HostId, Message message) -> awaitable<Message> {
            ++handled;
            co_return message;
        };
    }

    template<typename Body>
    void runInBackground(Body && body)
    {
        boost::asio::co_spawn(context, body, boost::asio::detached);
    }

    void runCoroutine(const std::function<awaitable<void>()> &body)
    {
        context.restart();
        test::runToCompletion(context, 1, body);
    }
};

// Guards against calls that hang on a connection whose peer has stopped responding.
TEST(APeerThatMisbehaves, byFallingSilent)
{
    section("during the handshake: the connection times out, and no request was sent", [this] {
        const auto acceptor = listenAsServer();
        wire::PeerPool pool(context.get_executor(), shortTimeouts("client"), addresses.lookup());
        runCoroutine([&]() -> awaitable<void> {
            const auto reply = co_await pool.call(serverHost, refused("x"), LongTimeout);
            checkError(reply, wire::ErrorCode::Unreachable, false);
            LONGS_EQUAL(1, pool.counters().connectionsLost);
            pool.close();
        });
    });
    section("during the handshake: a call waits no longer than its timeout", [this] {
        const auto acceptor = listenAsServer();
        wire::PeerPool pool(context.get_executor(), test::peerOptions("client"), addresses.lookup());
        runCoroutine([&]() -> awaitable<void> {
            const auto reply = co_await pool.call(serverHost, refused("x"), 20ms);
            checkError(reply, wire::ErrorCode::Timeout, false);
            pool.close();
        });
    });
    section("on an open connection: the call fails and later calls use a new connection", [this] {
        auto acceptor = listenAsServer();
        wire::PeerPool pool(context.get_executor(), shortTimeouts("client"), addresses.lookup());
        std::vector<ScriptedPeer> silent;
        runInBackground([&]() -> awaitable<void> {
            auto first = co_await ScriptedPeer::accept(acceptor, fleetSecret, "server", 1);
            (void)co_await first.receive();
            silent.push_back(std::move(first)); // Stays open but sends nothing.
            for (bool isDone = false; !isDone;) {
                auto next = co_await ScriptedPeer::accept(acceptor, fleetSecret, "server", 1);
                while (const auto request = co_await next.receive()) {
                    co_await next.send(request->key, refused("answer"));
                    isDone = isDone || detailOf(request) == "last";
                }
            }
        });
        runCoroutine([&]() -> awaitable<void> {
            const auto lost = co_await pool.call(serverHost, refused("x"), LongTimeout);
            checkError(lost, wire::ErrorCode::ConnectionLost, true);
            // On a machine too busy for the short timeouts, further connections may time out as well.
            for (std::string answer; answer != "answer";) {
                const auto reply = co_await pool.call(serverHost, refused("last"), LongTimeout);
                answer = detailOf(reply);
            }
            CHECK(pool.counters().connectionsStarted >= 2U);
            pool.close();
        });
    });
    section("as a client, with and without authentication: the server closes the connection", [this] {
        wire::PeerServer server(context.get_executor(), shortTimeouts("server"), echo());
        const auto port = server.listen("127.0.0.1", 0).value();
        runCoroutine([&]() -> awaitable<void> {
            auto unauthenticated = co_await ScriptedPeer::connect(port);
            const auto nothing = co_await unauthenticated.receive();
            CHECK_FALSE(nothing.has_value());
            std::optional<ScriptedPeer> client;
            while (!client) {
                client = co_await ScriptedPeer::connect(port, fleetSecret, "client");
            }
            const auto frame = co_await client->receive();
            CHECK_FALSE(frame.has_value());
            server.close();
        });
    });
}

// Guards against a caller that receives the answer to another request.
TEST(APeerThatMisbehaves, byAnsweringWrongly)
{
    section("mismatched and duplicate answers are dropped", [this] {
        auto acceptor = listenAsServer();
        wire::PeerPool pool(context.get_executor(), test::peerOptions("client"), addresses.lookup());
        runInBackground([&]() -> awaitable<void> {
            auto peer = co_await ScriptedPeer::accept(acceptor, fleetSecret, "server", 1);
            const auto request = co_await peer.receive();
            const RequestKey key = request->key;
            co_await peer.send(RequestKey{key.epoch + 1, key.number}, refused("other epoch"));
            co_await peer.send(RequestKey{key.epoch, key.number + 1}, refused("other number"));
            co_await peer.send(key, refused("right"));
            co_await peer.send(key, refused("again"));
            const auto second = co_await peer.receive();
            co_await peer.send(second->key, refused("second"));
            (void)co_await peer.receive();
        });
        runCoroutine([&]() -> awaitable<void> {
            const auto first = co_await pool.call(serverHost, refused("x"), LongTimeout);
            CHECK(detailOf(first) == "right");
            const auto second = co_await pool.call(serverHost, refused("x"), LongTimeout);
            CHECK(detailOf(second) == "second");
            LONGS_EQUAL(3, pool.counters().droppedAnswers);
            pool.close();
        });
    });
    section("a call that times out is cancelled at the peer, and its late answer is dropped", [this] {
        auto acceptor = listenAsServer();
        wire::PeerPool pool(context.get_executor(), test::peerOptions("client"), addresses.lookup());
        runInBackground([&]() -> awaitable<void> {
            auto peer = co_await ScriptedPeer::accept(acceptor, fleetSecret, "server", 1);
            while (const auto frame = co_await peer.receive()) {
                if (std::holds_alternative<wire::detail::CallCancel>(frame->payload)) {
                    co_await peer.send(frame->key, refused("late"));
                } else if (detailOf(frame) == "answer this") {
                    co_await peer.send(frame->key, refused("answer"));
                }
            }
        });
        runCoroutine([&]() -> awaitable<void> {
            const auto first = co_await pool.call(serverHost, refused("answer this"), LongTimeout);
            CHECK(detailOf(first) == "answer");
            std::optional<wire::Error> error;
            while (!error || !error->maybeSent()) { // A call may time out before its frame is written.
                const auto late = co_await pool.call(serverHost, refused("ignore this"), 20ms);
                error = late.error();
                CHECK(error->code() == wire::ErrorCode::Timeout);
            }
            const auto second = co_await pool.call(serverHost, refused("answer this"), LongTimeout);
            CHECK(detailOf(second) == "answer");
            LONGS_EQUAL(1, pool.counters().droppedAnswers);
            pool.close();
        });
    });
    section("another host at the address receives no request", [this] {
        auto acceptor = listenAsServer();
        wire::PeerPool pool(context.get_executor(), test::peerOptions("client"), addresses.lookup());
        runInBackground(
            [&]() -> awaitable<void> { (void)co_await ScriptedPeer::accept(acceptor, fleetSecret, "other", 1); });
        runCoroutine([&]() -> awaitable<void> {
            const auto reply = co_await pool.call(serverHost, refused("x"), LongTimeout);
            checkError(reply, wire::ErrorCode::Unreachable, false);
            pool.close();
        });
    });
}

// Guards against requests from unauthenticated clients, and against a faulty connection that affects others.
TEST(APeerThatMisbehaves, byNotKnowingTheProtocol)
{
    wire::PeerServer server(context.get_executor(), test::peerOptions("server"), echo());
    const auto port = server.listen("127.0.0.1", 0).value();
    addresses.set("server", port);
    wire::PeerPool unauthenticated(context.get_executor(), test::peerOptions("client", "wrong"), addresses.lookup());
    runCoroutine([&]() -> awaitable<void> {
        auto good = co_await ScriptedPeer::connect(port, fleetSecret, "good");
        const auto reply = co_await unauthenticated.call(serverHost, refused("x"), LongTimeout);
        checkError(reply, wire::ErrorCode::NotAuthenticated, false);

        auto wrongProof = co_await ScriptedPeer::connect(port, "wrong", "client");
        co_await wrongProof->send(RequestKey{1, 1}, refused("x"));
        const auto afterWrongProof = co_await wrongProof->receive();
        CHECK_FALSE(afterWrongProof.has_value());

        auto noProof = co_await ScriptedPeer::connect(port);
        co_await noProof.send(RequestKey{1, 1}, refused("x"));
        const auto afterNoProof = co_await noProof.receive();
        CHECK_FALSE(afterNoProof.has_value());
        LONGS_EQUAL(0, handled);

        auto garbage = co_await ScriptedPeer::connect(port, fleetSecret, "client");
        const std::vector<std::uint8_t> bytes{8, 0, 0, 0, 255, 255, 255, 255, 1, 2, 3, 4};
        co_await garbage->sendBytes(bytes);
        const auto afterGarbage = co_await garbage->receive();
        CHECK_FALSE(afterGarbage.has_value());

        co_await good->send(RequestKey{5, 6}, refused("still here"));
        const auto answer = co_await good->receive();
        CHECK(detailOf(answer) == "still here");
        CHECK((answer->key == RequestKey{5, 6}));
        unauthenticated.close();
        server.close();
    });
}
