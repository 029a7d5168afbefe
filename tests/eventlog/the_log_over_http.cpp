#include "berylspring/eventlog/http_log.h"
#include "eventlog/log_json.h"
#include "support/section.h"

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/** @brief Reaction of the scripted server to one request. */
struct Reply
{
    int status = 200;
    std::string body = {};
    bool isLost = false; ///< The connection is closed without a response.
    bool isSilent = false; ///< No response is sent and the connection stays open.
    bool closesAfter = false; ///< The connection is closed after the response, without `Connection: close`.
};

/** @brief HTTP server on the loopback interface with scripted responses. */
class ScriptedServer
{
public:
    explicit ScriptedServer(asio::io_context &context)
        : m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, accept(), [](const std::exception_ptr &) {});
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    std::deque<Reply> script;
    std::vector<std::string> requests; ///< Method, target and body.
    int connectionCount = 0;

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto [ec, socket] = co_await m_acceptor.async_accept(UseTuple);
            if (ec) {
                co_return;
            }
            ++connectionCount;
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), [](const std::exception_ptr &) {});
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            const auto [readError, received] = co_await http::async_read(socket, buffer, request, UseTuple);
            if (readError) {
                co_return;
            }
            requests.push_back(std::string(request.method_string()) + " " + std::string(request.target()) + " "
                               + request.body());
            const Reply reply = script.front();
            script.pop_front();
            if (reply.isLost) {
                co_return;
            }
            if (reply.isSilent) {
                m_silent.push_back(std::move(socket));
                co_return;
            }
            http::response<http::string_body> response(static_cast<http::status>(reply.status), 11);
            response.body() = reply.body;
            response.prepare_payload();
            co_await http::async_write(socket, response, UseTuple);
            if (reply.closesAfter) {
                co_return;
            }
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::ip::tcp::socket> m_silent;
};

template<typename Value>
Value wait(asio::io_context &context, asio::awaitable<Value> work)
{
    std::optional<Value> result;
    asio::co_spawn(context, std::move(work), [&](const std::exception_ptr &failure, Value value) {
        CHECK_TRUE(failure == nullptr);
        result = std::move(value);
    });
    while (!result) {
        context.run_one();
    }
    return std::move(*result);
}

}

TEST_GROUP(TheLogOverHttp){};

TEST(TheLogOverHttp, answersAppendsAndReads)
{
    asio::io_context context;
    ScriptedServer server(context);
    const auto log = eventlog::makeHttpLog(context.get_executor(), "127.0.0.1", server.port());
    section("a record is sent unchanged and its offset is returned", [&] {
        server.script = {{200, R"({"offset":7})"}};
        LONGS_EQUAL(7, wait(context, log.append("config", "{\"a\":\"\n\"}")).value());
        STRCMP_EQUAL("POST /streams/config/records {\"a\":\"\n\"}", server.requests.back().c_str());
    });
    section("a page is read on the same connection", [&] {
        server.script = {{200, R"({"records":[{"offset":7,"data":"x"}],"first":3,"next":8})"}};
        const auto page = wait(context, log.read("config", 7, 20, std::chrono::milliseconds(250))).value();
        STRCMP_EQUAL("GET /streams/config/records?from=7&limit=20&wait_ms=250 ", server.requests.back().c_str());
        CHECK_TRUE(page == eventlog::LogPage({{{7, "x"}}, 3, 8}));
        LONGS_EQUAL(1, server.connectionCount);
    });
    section("a read of expired records returns the first retained offset", [&] {
        server.script = {{410, R"({"first":9})"}};
        const auto page = wait(context, log.read("config", 7, 20, {}));
        CHECK_TRUE(!page && page.error() == eventlog::Error::expired(9));
    });
    section("an idle connection that the log has closed is replaced before the next append", [&] {
        server.script = {{.status = 200, .body = R"({"offset":8})", .closesAfter = true}, {200, R"({"offset":9})"}};
        LONGS_EQUAL(8, wait(context, log.append("config", "x")).value());
        context.poll();
        LONGS_EQUAL(9, wait(context, log.append("config", "y")).value());
        LONGS_EQUAL(2, server.connectionCount);
    });
}

TEST(TheLogOverHttp, tellsWhetherAFailedAppendIsInDoubt)
{
    asio::io_context context;
    ScriptedServer server(context);
    const auto failureOf = [&](Reply reply, core::Duration requestTimeout = std::chrono::minutes(10)) {
        const eventlog::LogTimeouts timeouts{std::chrono::minutes(10), requestTimeout};
        const auto log = eventlog::makeHttpLog(context.get_executor(), "127.0.0.1", server.port(), timeouts);
        server.script = {std::move(reply)};
        const auto appended = wait(context, log.append("config", "x"));
        CHECK_FALSE(appended.has_value());
        return std::pair(appended.error().code(), appended.error().maybeApplied());
    };
    using eventlog::ErrorCode;
    section("it is in doubt after a lost, late or malformed response", [&] {
        CHECK_TRUE(failureOf({.isLost = true}) == std::pair(ErrorCode::Unreachable, true));
        CHECK_TRUE(failureOf({.isSilent = true}, std::chrono::milliseconds(20)) == std::pair(ErrorCode::Timeout, true));
        CHECK_TRUE(failureOf({200, "{}"}) == std::pair(ErrorCode::Malformed, true));
        CHECK_TRUE(failureOf({500, ""}) == std::pair(ErrorCode::Refused, true));
    });
    section("it is in doubt after a response without a final status", [&] {
        CHECK_TRUE(failureOf({0, ""}) == std::pair(ErrorCode::Refused, true));
        CHECK_TRUE(failureOf({99, ""}) == std::pair(ErrorCode::Refused, true));
    });
    section("it is not in doubt after a refusal", [&] {
        CHECK_TRUE(failureOf({429, ""}) == std::pair(ErrorCode::Refused, false));
        CHECK_TRUE(failureOf({503, ""}) == std::pair(ErrorCode::Refused, false));
    });
    section("it is not in doubt if the log is unreachable or its address is invalid", [&] {
        for (const auto &address : {std::string("127.0.0.1"), std::string("no-address")}) {
            const auto absent = eventlog::makeHttpLog(context.get_executor(), address, 1);
            const auto appended = wait(context, absent.append("config", "x"));
            CHECK_TRUE(!appended && appended.error().code() == ErrorCode::Unreachable);
            CHECK_FALSE(appended.error().maybeApplied());
        }
    });
}

TEST(TheLogOverHttp, refusesMalformedAnswers)
{
    section("pages", [] {
        for (const char *body : {"",
                                 "[]",
                                 "{}",
                                 R"({"records":{},"first":0,"next":0})",
                                 R"({"records":[{"offset":-1,"data":""}],"first":0,"next":0})",
                                 R"({"records":[{"offset":1,"data":5}],"first":0,"next":0})",
                                 R"({"records":[{"offset":2,"data":""},{"offset":1,"data":""}],"first":0,"next":3})"}) {
            const auto page = eventlog::detail::parseLogPage(body);
            CHECK_TRUE_TEXT(!page && page.error().code() == eventlog::ErrorCode::Malformed, body);
        }
        CHECK_TRUE(eventlog::detail::parseExpired("{}").code() == eventlog::ErrorCode::Malformed);
    });
    checkProperty("arbitrary text is refused without an exception", [](const std::string &text) {
        RC_ASSERT(!eventlog::detail::parseLogPage(text));
        RC_ASSERT(!eventlog::detail::parseAppendResponse(text));
    });
}
