#include "berylspring/http/client.h"
#include "berylspring/http/line_stream.h"
#include "http/scripted_server.h"
#include "support/section.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <future>
#include <limits>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <malloc.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using http::ErrorCode;
using test::Script;
using test::ScriptedServer;
using test::section;

namespace {

namespace asio = boost::asio;

constexpr std::uint64_t BodyLimitBytes = 16ULL * 1024 * 1024;
constexpr core::Duration CallTimeout = 1s;
/** Far above the expected times, so that tests pass on a busy machine. */
constexpr core::Duration Patience = 20s;
/** Bytes of one connection that the kernel may hold for the two programs; the largest receive buffer is 32 MiB. */
constexpr std::uint64_t KernelBytes = 36ULL * 1024 * 1024;
/** Bytes of a head, a chunk extension or a trailer that the client may hold. */
constexpr std::uint64_t UnparsedBytes = 64ULL * 1024;

const std::string Id = "X-Id";

/** @return The text `count` times. */
std::string repeat(const std::string &text, std::size_t count)
{
    std::string whole;
    whole.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i) {
        whole += text;
    }
    return whole;
}

/** @return A complete response to the request with this id. */
std::string answer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + Id + ": " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

bool isAnswerTo(const http::Request &request, const http::Response &response)
{
    const std::string_view id = http::headerValue(response->headers, Id);
    return id.empty() || id == http::headerValue(request->headers, Id);
}

http::Request requestWithId(const std::string &id)
{
    return http::Request({.method = "GET", .target = "/", .headers = {{Id, id}}});
}

/** @brief A client of a server that sends a script on its first connection and an honest answer on all others. */
class Exchange
{
public:
    explicit Exchange(const Script &script)
        : m_server(
            [script](int connection) { return connection == 0 ? script : Script{.first = answer("b", "honest")}; })
    {
    }
    ~Exchange()
    {
        m_client.reset();
        m_pool.join();
    }
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    http::Result<http::Response> send(const std::string &id)
    {
        const http::Request request = requestWithId(id);
        const auto start = std::chrono::steady_clock::now();
        auto response = asio::co_spawn(m_pool, m_client->send(request, CallTimeout), asio::use_future).get();
        CHECK(std::chrono::steady_clock::now() - start < CallTimeout + Patience);
        return response;
    }
    ScriptedServer &server()
    {
        return m_server;
    }

private:
    ScriptedServer m_server;
    asio::thread_pool m_pool{1}; ///< One thread, on which the timer of a read competes with the arriving bytes.
    std::unique_ptr<http::Client> m_client = std::make_unique<http::Client>(
        m_pool.get_executor(),
        m_server.address(),
        http::ClientOptions{.bodyLimitBytes = BodyLimitBytes, .idleCheckInterval = 100ms, .isAnswerTo = isAnswerTo});
};

/** Memory of a process on the smaller machines of the platform. */
constexpr std::uint64_t ProcessBytes = 160ULL * 1000 * 1000;
constexpr std::uint64_t BudgetBytes = 32ULL * 1024 * 1024;
constexpr int ConcurrentCalls = 200;
/** A string that grows has up to twice its size and leaves its old memory to the allocator; each connection has a
 * buffer. */
constexpr std::uint64_t PeakBytes = 3 * BudgetBytes + ConcurrentCalls * UnparsedBytes + 32ULL * 1024 * 1024;
static_assert(PeakBytes < ProcessBytes);

/** @return A field of /proc/self/status in bytes. */
std::uint64_t memoryField(const std::string &name)
{
    std::ifstream status("/proc/self/status");
    std::string field;
    std::uint64_t kilobytes = 0;
    while (status >> field && field != name + ":") {
        status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    }
    status >> kilobytes;
    return kilobytes * 1024;
}

/** @brief Peak of the resident memory above its value at construction. */
class PeakMemory
{
public:
    PeakMemory()
    {
        malloc_trim(0); // Memory that earlier tests have freed does not count.
        // Resets the peak (proc(5)).
        std::ofstream("/proc/self/clear_refs") << "5";
        m_before = memoryField("VmRSS");
    }
    [[nodiscard]] std::uint64_t growth() const
    {
        const std::uint64_t peak = memoryField("VmHWM");
        return peak > m_before ? peak - m_before : 0;
    }

private:
    std::uint64_t m_before = 0;
};

/** @brief Checks that bytes without end fail their own call only, by its timeout at the latest. */
void checkEnds(const std::string &title, const Script &script, ErrorCode expected, std::uint64_t heldBytes)
{
    section(title, [&] {
        Exchange exchange(script);
        const auto response = exchange.send("a");
        section("the call fails, and may have run", [&] {
            CHECK_FALSE(response.has_value());
            CHECK(response.error().maybeSent());
            LONGS_EQUAL(expected, response.error().code());
        });
        section("the connection is closed", [&] { CHECK(exchange.server().waitUntilClosed(1, Patience)); });
        section("few bytes were taken", [&] { CHECK(exchange.server().sentBytes() <= heldBytes + KernelBytes); });
        section("the next request gets its own answer, on another connection", [&] {
            const auto next = exchange.send("b");
            CHECK(next.has_value());
            STRCMP_EQUAL("honest", (*next)->body.c_str());
            LONGS_EQUAL(2, exchange.server().accepted());
        });
    });
}

}

TEST_GROUP(AServerThatNeverStops){};

// Guards against a head that is collected until the memory is used up, and against bytes that are taken for a response.
TEST(AServerThatNeverStops, sendsAHeadWithoutEnd)
{
    const std::string letters(8192, 'x');
    checkEnds("a status line without end",
              {.first = "HTTP/1.1 200 ", .repeated = letters},
              ErrorCode::TooLarge,
              UnparsedBytes);
    checkEnds("header fields without end",
              {.first = "HTTP/1.1 200 OK\r\n", .repeated = repeat("X-Field: value\r\n", 512)},
              ErrorCode::TooLarge,
              UnparsedBytes);
    checkEnds("one header field without end",
              {.first = "HTTP/1.1 200 OK\r\nX-Field: ", .repeated = letters},
              ErrorCode::TooLarge,
              UnparsedBytes);
    checkEnds("bytes that are no HTTP", {.repeated = letters}, ErrorCode::Malformed, UnparsedBytes);
    checkEnds("zero bytes", {.repeated = std::string(8192, '\0')}, ErrorCode::Malformed, UnparsedBytes);
}

// Guards against a body that is held beyond the limit or read beyond the timeout.
TEST(AServerThatNeverStops, sendsABodyWithoutEnd)
{
    const std::string letters(65536, 'x');
    checkEnds("a body without length",
              {.first = "HTTP/1.1 200 OK\r\n\r\n", .repeated = letters},
              ErrorCode::TooLarge,
              BodyLimitBytes);
    checkEnds("a length far above the limit",
              {.first = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", .repeated = letters},
              ErrorCode::TooLarge,
              UnparsedBytes);
    checkEnds("bytes one at a time",
              {.first = "HTTP/1.1 200 OK\r\n\r\n", .repeated = "x"},
              ErrorCode::Timeout,
              BodyLimitBytes);
    checkEnds("bytes one at a time, slowly",
              {.first = "HTTP/1.1 200 OK\r\n\r\n", .repeated = "x", .interval = 1ms},
              ErrorCode::Timeout,
              BodyLimitBytes);
}

// Guards against reading the responses to other requests without end.
TEST(AServerThatNeverStops, sendsResponsesToOtherRequests)
{
    checkEnds("responses to other requests before the answer",
              {.repeated = repeat(answer("other", "x"), 512)},
              ErrorCode::Malformed,
              UnparsedBytes);
}

// Guards against an informational response that is returned as the answer, and against reading them without end.
TEST(AServerThatNeverStops, sendsInformationalResponses)
{
    for (const std::string status : {"100 Continue", "102 Processing", "103 Early Hints"}) {
        const std::string informational = "HTTP/1.1 " + status + "\r\n\r\n";
        section("one " + status + " before the answer", [&] {
            Exchange exchange({.first = informational + answer("a", "real")});
            const auto response = exchange.send("a");
            CHECK(response.has_value());
            LONGS_EQUAL(200, (*response)->status);
            STRCMP_EQUAL("real", (*response)->body.c_str());
        });
        checkEnds(
            status + " without end", {.repeated = repeat(informational, 512)}, ErrorCode::Malformed, UnparsedBytes);
    }
    section("several before the answer", [&] {
        Exchange exchange({.first = repeat("HTTP/1.1 102 Processing\r\n\r\n", 5) + answer("a", "real")});
        const auto response = exchange.send("a");
        CHECK(response.has_value());
        STRCMP_EQUAL("real", (*response)->body.c_str());
    });
    checkEnds("a status that HTTP does not have",
              {.first = "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n", .repeated = "bytes"},
              ErrorCode::Malformed,
              UnparsedBytes);
    checkEnds("a change of protocol that nobody asked for",
              {.first = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n", .repeated = "bytes"},
              ErrorCode::Malformed,
              UnparsedBytes);
}

// Guards against framing of chunks, which is no part of the body, that is collected until the memory is used up.
TEST(AServerThatNeverStops, sendsChunksWithoutEnd)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string letters(65536, 'x');
    checkEnds("chunks",
              {.first = head, .repeated = repeat("400\r\n" + std::string(1024, 'x') + "\r\n", 64)},
              ErrorCode::TooLarge,
              BodyLimitBytes);
    checkEnds(
        "an extension of a chunk", {.first = head + "1;x", .repeated = letters}, ErrorCode::TooLarge, UnparsedBytes);
    checkEnds("a trailer",
              {.first = head + "1\r\nx\r\n0\r\n", .repeated = repeat("X-Field: value\r\n", 4096)},
              ErrorCode::TooLarge,
              UnparsedBytes);
    checkEnds("a field of a trailer",
              {.first = head + "1\r\nx\r\n0\r\nX-Field: ", .repeated = letters},
              ErrorCode::TooLarge,
              UnparsedBytes);
    section("an extension of a chunk in a stream of lines", [&] {
        ScriptedServer server([&](int) { return Script{.first = head + "1;x", .repeated = letters}; });
        asio::thread_pool pool{1};
        auto lines = http::readLines(server.address(), requestWithId("a"), [](std::string_view) { return true; });
        CHECK_FALSE(asio::co_spawn(pool, std::move(lines), asio::use_future).get().has_value());
        CHECK(server.waitUntilClosed(1, Patience));
        CHECK(server.sentBytes() <= UnparsedBytes + KernelBytes);
    });
}

// Guards against bytes after a complete response that reach a later request or are left unread on an idle connection.
TEST(AServerThatNeverStops, sendsMoreAfterACompleteResponse)
{
    const auto checkLater = [](const std::string &title, const Script &script) {
        section(title, [&] {
            Exchange exchange(script);
            const auto response = exchange.send("a");
            CHECK(response.has_value());
            STRCMP_EQUAL("mine", (*response)->body.c_str());
            section("the connection is closed without another request",
                    [&] { CHECK(exchange.server().waitUntilClosed(1, Patience)); });
            section("few bytes were taken",
                    [&] { CHECK(exchange.server().sentBytes() <= UnparsedBytes + KernelBytes); });
            section("the next request gets its own answer", [&] {
                const auto next = exchange.send("b");
                CHECK(next.has_value());
                STRCMP_EQUAL("honest", (*next)->body.c_str());
            });
        });
    };
    const std::string others = repeat(answer("other", "x"), 512);
    checkLater("responses to other requests at once", {.first = answer("a", "mine"), .repeated = others});
    checkLater("responses to other requests while the connection is idle",
               {.first = answer("a", "mine"), .pause = 50ms, .repeated = others});
    checkLater(
        "responses without an id while the connection is idle",
        {.first = answer("a", "mine"), .pause = 50ms, .repeated = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
    checkLater("one byte while the connection is idle",
               {.first = answer("a", "mine"), .pause = 50ms, .repeated = "x", .interval = 100ms});
}

// Guards against many endless bodies at once that together exceed the memory of the process.
TEST(AServerThatNeverStops, sendsManyBodiesAtOnce)
{
    const std::string letters(65536, 'x');
    const std::string chunk = "10000\r\n" + letters + "\r\n";
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<Script> endless{
        {.first = "HTTP/1.1 200 OK\r\n\r\n", .repeated = letters},
        {.first = chunkedHead, .repeated = chunk},
        {.first = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyLimitBytes) + "\r\n\r\n",
         .repeated = std::string(1024, 'x'),
         .interval = 1ms},
    };
    const auto budget = std::make_shared<http::BodyBudget>(BudgetBytes);
    const http::ClientOptions options{.bodyLimitBytes = BodyLimitBytes, .bodyBudget = budget};
    asio::thread_pool pool{2};
    const auto checkMany = [&](const std::vector<Script> &scripts, core::Duration timeout) {
        const PeakMemory memory;
        ScriptedServer server(
            [&](int connection) { return scripts[static_cast<std::size_t>(connection) % scripts.size()]; });
        http::Client client(pool.get_executor(), server.address(), options);
        std::vector<std::future<http::Result<http::Response>>> answers;
        for (int i = 0; i < ConcurrentCalls; ++i) {
            answers.push_back(asio::co_spawn(pool, client.send(requestWithId("a"), timeout), asio::use_future));
        }
        for (auto &future : answers) {
            const auto response = future.get();
            CHECK_FALSE(response.has_value());
            CHECK(response.error().maybeSent());
            CHECK(response.error().code() == ErrorCode::TooLarge || response.error().code() == ErrorCode::Timeout);
        }
        CHECK(server.waitUntilClosed(ConcurrentCalls, Patience));
        LONGS_EQUAL(0, budget->reservedBytes());
        // Sanitizers keep freed memory.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
        CHECK(memory.growth() <= PeakBytes);
#endif
    };
    section("as fast as they are read", [&] { checkMany(endless, CallTimeout); });
    section("side by side at a steady rate", [&] {
        checkMany({{.first = "HTTP/1.1 200 OK\r\n\r\n", .repeated = letters, .interval = 10ms},
                   {.first = chunkedHead, .repeated = chunk, .interval = 10ms}},
                  5 * CallTimeout);
    });
    section("an honest body of the whole limit passes alone", [&] {
        const std::string whole(BodyLimitBytes, 'y');
        const std::vector<std::string> honest{
            answer("a", whole), chunkedHead + repeat(chunk, BodyLimitBytes / letters.size()) + "0\r\n\r\n"};
        ScriptedServer server([&](int connection) { return Script{.first = honest[connection % honest.size()]}; });
        for (std::size_t i = 0; i < honest.size(); ++i) {
            http::Client client(pool.get_executor(), server.address(), options);
            const auto response =
                asio::co_spawn(pool, client.send(requestWithId("a"), Patience), asio::use_future).get();
            CHECK(response.has_value());
            LONGS_EQUAL(BodyLimitBytes, (*response)->body.size());
        }
        LONGS_EQUAL(0, budget->reservedBytes());
    });
    section("a short honest answer passes beside endless bodies", [&] {
        ScriptedServer server([&](int connection) {
            return connection < ConcurrentCalls ? endless[2] : Script{.first = answer("a", std::string(10'000, 'y'))};
        });
        http::Client client(pool.get_executor(), server.address(), options);
        std::vector<std::future<http::Result<http::Response>>> answers;
        for (int i = 0; i < ConcurrentCalls; ++i) {
            answers.push_back(asio::co_spawn(pool, client.send(requestWithId("a"), CallTimeout), asio::use_future));
        }
        while (server.accepted() < ConcurrentCalls) {
            std::this_thread::sleep_for(1ms);
        }
        const auto response = asio::co_spawn(pool, client.send(requestWithId("a"), Patience), asio::use_future).get();
        CHECK(response.has_value());
        for (auto &future : answers) {
            CHECK_FALSE(future.get().has_value());
        }
    });
    pool.join();
}

// Guards against memory that is allocated for bodies beyond the budget, because only the bytes that have arrived count.
TEST(AServerThatNeverStops, reservesTheMemoryOfABodyThatArrivesSlowly)
{
    constexpr std::uint64_t ArrivedBytes = 1024ULL * 1024;
    constexpr std::uint64_t AnnouncedBytes = 8 * ArrivedBytes;
    const std::string arrived(ArrivedBytes, 'x');
    const auto checkReserved = [&](const std::string &head, std::uint64_t least, std::uint64_t most) {
        const auto budget = std::make_shared<http::BodyBudget>(BudgetBytes);
        ScriptedServer server([&](int) { return Script{.first = head + arrived, .pause = 2 * CallTimeout}; });
        asio::thread_pool pool{1};
        http::Client client(
            pool.get_executor(), server.address(), {.bodyLimitBytes = BodyLimitBytes, .bodyBudget = budget});
        auto response = asio::co_spawn(pool, client.send(requestWithId("a"), CallTimeout), asio::use_future);
        const auto deadline = std::chrono::steady_clock::now() + CallTimeout;
        std::uint64_t highest = 0;
        while (highest < least && std::chrono::steady_clock::now() < deadline) {
            highest = std::max(highest, budget->reservedBytes());
            std::this_thread::sleep_for(1ms);
        }
        CHECK(highest >= least);
        CHECK(highest <= most);
        CHECK_FALSE(response.get().has_value());
        LONGS_EQUAL(0, budget->reservedBytes());
    };
    section("an announced length is reserved as a whole", [&] {
        checkReserved("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(AnnouncedBytes) + "\r\n\r\n",
                      AnnouncedBytes,
                      AnnouncedBytes);
    });
    section("a body without length is reserved before its string grows", [&] {
        checkReserved("HTTP/1.1 200 OK\r\n\r\n", ArrivedBytes + UnparsedBytes, 2 * ArrivedBytes + UnparsedBytes);
    });
}

// Guards against a timeout that never fires because the next bytes always arrive first.
TEST(AServerThatNeverStops, makesProgressWithEveryRead)
{
    const std::string chunk = "1;x=" + std::string(16384, 'x') + "\r\nx\r\n";
    section("a small body in chunks with long extensions", [&] {
        Exchange exchange({.first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", .repeated = chunk});
        const auto start = std::chrono::steady_clock::now();
        const auto response = exchange.send("a");
        CHECK(std::chrono::steady_clock::now() - start < 2 * CallTimeout);
        CHECK_FALSE(response.has_value());
        CHECK(response.error().maybeSent());
        LONGS_EQUAL(ErrorCode::Timeout, response.error().code());
        CHECK(exchange.server().waitUntilClosed(1, Patience));
    });
    section("many bodies of the whole limit at a steady rate", [&] {
        const Script steady{.first =
                                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyLimitBytes) + "\r\n\r\n",
                            .repeated = std::string(1024, 'x'),
                            .interval = 1ms};
        ScriptedServer server([&](int) { return Script(steady); });
        asio::thread_pool pool{2};
        http::Client client(pool.get_executor(), server.address(), {.bodyLimitBytes = BodyLimitBytes});
        const auto start = std::chrono::steady_clock::now();
        std::vector<std::future<http::Result<http::Response>>> answers;
        for (int i = 0; i < ConcurrentCalls; ++i) {
            answers.push_back(asio::co_spawn(pool, client.send(requestWithId("a"), CallTimeout), asio::use_future));
        }
        for (auto &future : answers) {
            const auto response = future.get();
            CHECK_FALSE(response.has_value());
            LONGS_EQUAL(ErrorCode::Timeout, response.error().code());
        }
        CHECK(std::chrono::steady_clock::now() - start < 5 * CallTimeout);
        CHECK(server.waitUntilClosed(ConcurrentCalls, Patience));
    });
}
