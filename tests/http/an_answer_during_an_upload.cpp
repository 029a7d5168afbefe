#include "berylspring/http/client.h"
#include "http/scripted_server.h"
#include "support/section.h"

#include <chrono>
#include <string>
#include <utility>

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
/** Fits into the buffers of both sockets. */
constexpr std::size_t SmallUploadBytes = 100;
/** Does not fit, so that the client still writes while the server ends the connection. */
constexpr std::size_t LongUploadBytes = std::size_t{16} * 1024 * 1024;

const std::string UnframedPart = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\n\r\nfirst pa";

http::Result<http::Response> upload(std::size_t bytes, Script script)
{
    ScriptedServer server([&](int) { return script; });
    asio::thread_pool pool{1};
    http::Client client(pool.get_executor(), server.address(), http::ClientOptions{});
    const http::Request request({.method = "POST", .target = "/", .body = std::string(bytes, 'u')});
    auto response = asio::co_spawn(pool, client.send(request, CallTimeout), asio::use_future).get();
    pool.join();
    return response;
}

void checkIsUnknown(const http::Result<http::Response> &response)
{
    CHECK_FALSE(response.has_value());
    CHECK_TRUE(response.error().maybeSent());
}

}

TEST_GROUP(AnAnswerDuringAnUpload){};

// Guards against a part of an answer without a length that is taken for the whole one, because its connection ended.
TEST(AnAnswerDuringAnUpload, isNotCompleteWhenTheConnectionIsReset)
{
    for (const std::size_t bytes : {SmallUploadBytes, LongUploadBytes}) {
        section("an upload of " + std::to_string(bytes) + " bytes, reset", [&] {
            checkIsUnknown(upload(bytes, {.first = UnframedPart, .pause = 20ms, .ending = Ending::Reset}));
        });
    }
    // After an upload that was written as a whole, an orderly end of the connection is the end of an unframed body.
    section("while the upload is written, reset after the end of the server's side", [&] {
        checkIsUnknown(
            upload(LongUploadBytes, {.first = UnframedPart, .pause = 20ms, .ending = Ending::ShutdownThenReset}));
    });
}

// Guards against an answer without a valid status that is passed on to the caller.
TEST(AnAnswerDuringAnUpload, hasAFinalStatus)
{
    for (const std::string line : {"HTTP/1.1 000 \r\n", "HTTP/1.1 000 Unknown\r\n", "HTTP/1.1 099 Odd\r\n"}) {
        section(line.substr(0, line.find('\r')), [&] {
            checkIsUnknown(upload(SmallUploadBytes,
                                  {.first = line + "X-Id: a\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nbody"}));
        });
    }
}
