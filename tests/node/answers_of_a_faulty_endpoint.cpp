#include "berylspring/core/clock.h"
#include "berylspring/node/local_endpoint.h"
#include "berylspring/telemetry/log.h"
#include "platform/adapter.h"
#include "support/section.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::checkProperty;
using test::section;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using core::Outcome;

/** Far above the expected time of an exchange, so that tests pass on a busy machine. */
constexpr core::Duration DefaultTimeout = 30s;

constexpr core::Duration LateWriteDelay = 20ms;

/** @brief Kinds of answers that an endpoint writes. */
enum class Kind {
    Success,
    Failure,
    Refusal,
    Misdirected,
    NotFound, ///< Without a stamp.
    Informational,
};

/** @brief An answer with the id of a request, or with no id. */
std::string answer(Kind kind, const std::string &id)
{
    const std::string idField = id.empty() ? std::string() : "Berylspring-Request-Id: " + id + "\r\n";
    const std::string stamp = "Berylspring-Response-Stamp: stamp\r\n";
    const std::string length = "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
    switch (kind) {
    case Kind::Success:
        return "HTTP/1.1 200 OK\r\n" + idField + stamp + length;
    case Kind::Failure:
        return "HTTP/1.1 500 Internal Server Error\r\n" + idField + stamp + length;
    case Kind::Refusal:
        return "HTTP/1.1 503 Service Unavailable\r\nBerylspring-Not-Executed: 1\r\n" + idField + length;
    case Kind::Misdirected:
        return "HTTP/1.1 421 Misdirected Request\r\nBerylspring-Instance-Id: i-9\r\n" + idField + length;
    case Kind::NotFound:
        return "HTTP/1.1 404 Not Found\r\n" + idField + length;
    case Kind::Informational:
        return "HTTP/1.1 103 Early Hints\r\n" + idField + "\r\n";
    }
    return {};
}

bool isRefusal(Kind kind)
{
    return kind == Kind::Refusal || kind == Kind::Misdirected;
}

/** @brief What the endpoint writes for one request. */
struct Reply
{
    std::string before; ///< Written before the answer, after the request was read.
    std::optional<Kind> own; ///< The answer; empty: the connection is closed.
    std::chrono::milliseconds delay{}; ///< Between the request and the answer.
    std::string after; ///< Written in the same segment as the answer.
    std::string late; ///< Written LateWriteDelay after the answer.
};

/** @brief A TCP server that writes the bytes of a script and keeps its connections open. */
class ScriptedEndpoint
{
public:
    ScriptedEndpoint()
    {
        asio::co_spawn(m_pool, accept(), asio::detached);
    }
    ~ScriptedEndpoint()
    {
        m_pool.stop();
        m_pool.join();
    }
    ScriptedEndpoint(const ScriptedEndpoint &) = delete;
    ScriptedEndpoint &operator=(const ScriptedEndpoint &) = delete;

    /** @brief Sends a request through a node's endpoint. */
    admission::EndpointResult
    call(const std::string &id, Reply reply, core::Duration timeout = DefaultTimeout, core::Duration answerGrace = {})
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_reply = std::move(reply);
        }
        const wire::CallRequest request({.service = core::ServiceId("visits"),
                                         .method = "POST",
                                         .target = "/" + id,
                                         .headers = {{"Berylspring-Request-Id", id}},
                                         .remaining = timeout,
                                         .requestId = id,
                                         .answerGrace = answerGrace});
        return asio::co_spawn(m_pool, m_endpoint->call(request), asio::use_future).get();
    }

    /** @return Replies whose late part was written. */
    [[nodiscard]] int lateWrites() const noexcept
    {
        return m_lateWrites;
    }

    /** @return Connections on which a request was read. */
    [[nodiscard]] std::size_t usedConnections()
    {
        const std::scoped_lock lock(m_mutex);
        return m_used.size();
    }

private:
    asio::awaitable<void> accept()
    {
        for (int number = 0;; ++number) {
            asio::co_spawn(
                m_pool, serve(co_await m_acceptor.async_accept(asio::use_awaitable), number), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket, int number)
    {
        std::string buffer;
        for (;;) {
            boost::system::error_code error;
            const std::size_t size = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            const std::string id = buffer.substr(buffer.find('/') + 1, buffer.find(" HTTP") - buffer.find('/') - 1);
            buffer.erase(0, size);
            const Reply reply = take(number);
            if (reply.delay > 0ms) {
                asio::steady_timer timer(m_pool, reply.delay);
                co_await timer.async_wait(asio::use_awaitable);
            }
            const std::string bytes = reply.before + (reply.own ? answer(*reply.own, id) + reply.after : std::string());
            co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            if (error || !reply.own) {
                co_return;
            }
            if (!reply.late.empty()) {
                asio::steady_timer timer(m_pool, LateWriteDelay);
                co_await timer.async_wait(asio::use_awaitable);
                co_await asio::async_write(
                    socket, asio::buffer(reply.late), asio::redirect_error(asio::use_awaitable, error));
                ++m_lateWrites;
            }
        }
    }

    Reply take(int connection)
    {
        const std::scoped_lock lock(m_mutex);
        m_used.insert(connection);
        return m_reply;
    }

    asio::thread_pool m_pool{2};
    tcp::acceptor m_acceptor{m_pool, {asio::ip::make_address("127.0.0.1"), 0}};
    std::mutex m_mutex;
    Reply m_reply;
    std::set<int> m_used;
    std::atomic<int> m_lateWrites{0};
    node::Protocols m_protocols = platform::makeProtocols(node::Settings(node::SettingsFields{}));
    node::InFlightTable m_inFlight{core::systemRandom()};
    std::shared_ptr<node::LocalEndpoint> m_endpoint = makeEndpoint();

    std::shared_ptr<node::LocalEndpoint> makeEndpoint()
    {
        auto endpoint = std::make_shared<node::LocalEndpoint>(
            m_pool.get_executor(), 1024, m_protocols, m_inFlight, core::systemRandom(), [](const telemetry::Span &) {});
        const std::string address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
        endpoint->heartbeat(
            {.announcement =
                 {.service = core::ServiceId("visits"), .address = address, .slots = 4, .id = "i-1", .incarnation = 1},
             .sequence = 1},
            core::bootTime());
        return endpoint;
    }
};

std::optional<Outcome> outcomeOf(const admission::EndpointResult &result)
{
    return result.response->refusal ? std::optional(result.response->refusal->outcome()) : std::nullopt;
}

/** @brief Generates an answer that belongs to no request in progress: it has an earlier id or none. */
std::string strayAnswer(const std::vector<std::string> &earlierIds)
{
    const auto kind = *rc::gen::element(
        Kind::Success, Kind::Failure, Kind::Refusal, Kind::Misdirected, Kind::NotFound, Kind::Informational);
    const auto index = *rc::gen::inRange<std::size_t>(0, earlierIds.size() + 1);
    return answer(kind, index < earlierIds.size() ? earlierIds[index] : std::string());
}

std::string strayAnswers(const std::vector<std::string> &earlierIds)
{
    std::string bytes;
    for (int left = *rc::gen::inRange(0, 4); left > 0; --left) {
        bytes += strayAnswer(earlierIds);
    }
    return bytes;
}

}

TEST_GROUP(AnswersOfAFaultyEndpoint){void setup() override{telemetry::setLowestSeverity(telemetry::Severity::Warning);
}
void teardown() override
{
    telemetry::setLowestSeverity(telemetry::Severity::Info);
}
}
;

// Guards against a promise "not run" for a request that the endpoint runs, because the endpoint wrote the refusal of an
// earlier request once more.
TEST(AnswersOfAFaultyEndpoint, doNotProveThatARequestHasNotRun)
{
    section("a repeated refusal without an id proves nothing", [] {
        ScriptedEndpoint endpoint;
        CHECK(outcomeOf(endpoint.call("a", {.own = Kind::Success})) == std::nullopt);
        const auto result = endpoint.call("b", {.before = answer(Kind::Refusal, ""), .own = Kind::Success});
        CHECK(outcomeOf(result) != Outcome::NotRun);
    });
    section("nor does a 421 without an id", [] {
        ScriptedEndpoint endpoint;
        const auto result = endpoint.call("a", {.before = answer(Kind::Misdirected, ""), .own = Kind::Success});
        CHECK(outcomeOf(result) != Outcome::NotRun);
    });
    section("a repeated refusal with the earlier id is dropped", [] {
        ScriptedEndpoint endpoint;
        CHECK(outcomeOf(endpoint.call("a", {.own = Kind::Refusal})) == Outcome::NotRun);
        const auto result = endpoint.call("b", {.before = answer(Kind::Refusal, "a"), .own = Kind::Success});
        LONGS_EQUAL(200, result.response->status);
        STRCMP_EQUAL("b", result.response->body.c_str());
    });
    section("a refusal with the own id does", [] {
        ScriptedEndpoint endpoint;
        CHECK(outcomeOf(endpoint.call("a", {.own = Kind::Refusal})) == Outcome::NotRun);
        CHECK(outcomeOf(endpoint.call("b", {.own = Kind::Misdirected})) == Outcome::NotRun);
    });
}

// Guards against a connection whose later requests read the answers that were written for earlier ones.
TEST(AnswersOfAFaultyEndpoint, endTheReuseOfTheirConnection)
{
    section("sound answers keep the connection", [] {
        ScriptedEndpoint endpoint;
        for (const std::string id : {"a", "b", "c"}) {
            STRCMP_EQUAL(id.c_str(), endpoint.call(id, {.own = Kind::Success}).response->body.c_str());
        }
        LONGS_EQUAL(1, endpoint.usedConnections());
    });
    section("a dropped answer ends it", [] {
        ScriptedEndpoint endpoint;
        LONGS_EQUAL(200,
                    endpoint.call("b", {.before = answer(Kind::Success, "a"), .own = Kind::Success}).response->status);
        LONGS_EQUAL(200, endpoint.call("c", {.own = Kind::Success}).response->status);
        LONGS_EQUAL(2, endpoint.usedConnections());
    });
    section("a refusal ends it, so that its repetition meets no request, even one with the same id", [] {
        ScriptedEndpoint endpoint;
        for (int i = 0; i < 2; ++i) {
            CHECK(outcomeOf(endpoint.call("a", {.own = Kind::Refusal})) == Outcome::NotRun);
        }
        LONGS_EQUAL(2, endpoint.usedConnections());
    });
    section("bytes that arrive between two requests end it", [] {
        ScriptedEndpoint endpoint;
        LONGS_EQUAL(200,
                    endpoint.call("a", {.own = Kind::Success, .late = answer(Kind::Refusal, "")}).response->status);
        while (endpoint.lateWrites() == 0) {
            std::this_thread::sleep_for(1ms);
        }
        STRCMP_EQUAL("b", endpoint.call("b", {.own = Kind::Success}).response->body.c_str());
        LONGS_EQUAL(2, endpoint.usedConnections());
    });
    section("an answer without an id ends it", [] {
        ScriptedEndpoint endpoint;
        CHECK(outcomeOf(endpoint.call("a", {.before = answer(Kind::NotFound, ""), .own = Kind::Success}))
              != Outcome::NotRun);
        STRCMP_EQUAL("b", endpoint.call("b", {.own = Kind::Success}).response->body.c_str());
        LONGS_EQUAL(2, endpoint.usedConnections());
    });
}

// Guards against a final status that the endpoint did not give: a caller does not repeat a request after a 404.
TEST(AnswersOfAFaultyEndpoint, giveNoStatusThatTheEndpointDidNotGive)
{
    ScriptedEndpoint endpoint;
    section("a 404 without a stamp may have come from anyone",
            [&] { CHECK(outcomeOf(endpoint.call("a", {.own = Kind::NotFound})) == Outcome::Unknown); });
    section("an informational answer is not the last one", [&] {
        const auto result = endpoint.call("b", {.before = answer(Kind::Informational, "b"), .own = Kind::Success});
        LONGS_EQUAL(200, result.response->status);
    });
    section("a failure with stamp and id is passed on",
            [&] { LONGS_EQUAL(500, endpoint.call("c", {.own = Kind::Failure}).response->status); });
}

// Guards against a call that a stopping node cuts while its endpoint answers that the time is over.
TEST(AnswersOfAFaultyEndpoint, areAwaitedAfterTheDeadlineForTheAnswerGrace)
{
    ScriptedEndpoint endpoint;
    const Reply late{.own = Kind::Failure, .delay = 50ms};
    section("without it, the call ends at its deadline",
            [&] { CHECK(outcomeOf(endpoint.call("a", late, 1ms)) == Outcome::Unknown); });
    section("with it, the answer of the endpoint is passed on",
            [&] { LONGS_EQUAL(500, endpoint.call("b", late, 1ms, DefaultTimeout).response->status); });
}

// Guards against any sequence of repeated, foreign and unidentified answers that gives a request a wrong outcome.
TEST(AnswersOfAFaultyEndpoint, neverGiveARequestAWrongOutcome)
{
    const auto checkOutcome = [](const admission::EndpointResult &result, const std::string &id, const Reply &reply) {
        if (outcomeOf(result) == Outcome::NotRun) {
            RC_ASSERT(reply.own && isRefusal(*reply.own));
        } else if (!result.response->refusal) {
            RC_ASSERT(result.response->body == id);
            RC_ASSERT(reply.own == (result.response->status == 200 ? Kind::Success : Kind::Failure));
        }
    };
    checkProperty("requests with ids of their own", [&] {
        ScriptedEndpoint endpoint;
        std::vector<std::string> earlierIds;
        for (int i = 0; i < 6; ++i) {
            const std::string id = "r-" + std::to_string(i);
            const Reply reply{.before = strayAnswers(earlierIds),
                              .own = *rc::gen::element<std::optional<Kind>>(
                                  Kind::Success, Kind::Failure, Kind::Refusal, Kind::Misdirected, std::nullopt),
                              .after = strayAnswers(earlierIds)};
            checkOutcome(endpoint.call(id, reply), id, reply);
            earlierIds.push_back(id);
        }
    });
    checkProperty("a refusal that is repeated for requests with the same id", [&] {
        ScriptedEndpoint endpoint;
        const std::string id = "r";
        // An endpoint repeats a refusal on the connection on which it wrote it.
        std::size_t connectionsBefore = 0;
        bool wasRefused = false;
        for (int i = 0; i < 6; ++i) {
            Reply reply{.own = *rc::gen::element<std::optional<Kind>>(Kind::Success, Kind::Refusal, Kind::Misdirected),
                        .after = *rc::gen::element(std::string(), answer(Kind::Refusal, id))};
            const auto result = endpoint.call(id, reply);
            checkOutcome(result, id, reply);
            if (wasRefused) {
                RC_ASSERT(endpoint.usedConnections() > connectionsBefore);
            }
            connectionsBefore = endpoint.usedConnections();
            wasRefused = isRefusal(*reply.own);
        }
    });
}
