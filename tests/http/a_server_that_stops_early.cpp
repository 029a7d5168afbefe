#include "berylspring/http/client.h"
#include "http/scripted_server.h"
#include "support/section.h"

#include <chrono>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::Ending;
using test::Script;
using test::ScriptedServer;
using test::section;

namespace {

namespace asio = boost::asio;

constexpr core::Duration CallTimeout = 30s;

/** @brief An answer, and the number of its bytes after which it may count as complete when the connection ends. */
struct Answer
{
    std::string name;
    std::string bytes;
    std::size_t completeFrom = 0;
};

std::vector<Answer> answers()
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\n";
    const std::string sized = head + "Content-Length: 11\r\n\r\nhello world";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n";
    const std::string unframed = head + "Connection: close\r\n\r\nhello world";
    // The end of the connection is the only mark of the end of an unframed body.
    return {{"a sized body", sized, sized.size()},
            {"a chunked body", chunked, chunked.size()},
            {"an unframed body", unframed, unframed.find("\r\n\r\n") + 4}};
}

http::Result<http::Response> receive(const Script &script)
{
    ScriptedServer server([&](int) { return script; });
    asio::thread_pool pool{1};
    http::Client client(pool.get_executor(), server.address(), http::ClientOptions{});
    const http::Request request({.method = "POST", .target = "/"});
    auto response = asio::co_spawn(pool, client.send(request, CallTimeout), asio::use_future).get();
    pool.join();
    return response;
}

}

TEST_GROUP(AServerThatStopsEarly){};

// Guards against a success that is made of the first bytes of an answer.
TEST(AServerThatStopsEarly, isNeverTakenForOneThatAnswered)
{
    for (const Answer &answer : answers()) {
        for (const Ending ending : {Ending::Close, Ending::Reset}) {
            section(answer.name + (ending == Ending::Close ? ", closed" : ", reset"), [&, &answer = answer] {
                int cuts = 0;
                for (std::size_t size = 0; size < answer.bytes.size(); ++size) {
                    const bool mayBeComplete = ending == Ending::Close && size >= answer.completeFrom;
                    if (mayBeComplete) {
                        continue;
                    }
                    const auto response = receive({.first = answer.bytes.substr(0, size), .ending = ending});
                    CHECK_FALSE_TEXT(response.has_value(), ("cut after " + std::to_string(size) + " bytes").c_str());
                    CHECK(response.error().maybeSent());
                    ++cuts;
                }
                std::cout << answer.name << ": " << cuts << " cuts\n";
            });
        }
        section(answer.name + " is complete with all of its bytes", [&, &answer = answer] {
            const auto response = receive({.first = answer.bytes, .ending = Ending::Close});
            CHECK(response.has_value());
            STRCMP_EQUAL("hello world", (*response)->body.c_str());
        });
    }
}
