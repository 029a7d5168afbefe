#include "integration/harness/platform_fleet.h"
#include "support/section.h"

#include <atomic>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;
using test::waitUntil;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/**
 * @brief An endpoint that refuses requests below /book/refused/, and writes a refusal before the answer to those below
 * /book/repeated/.
 */
class FaultyEndpoint
{
public:
    FaultyEndpoint()
    {
        asio::co_spawn(m_pool, accept(), asio::detached);
    }
    ~FaultyEndpoint()
    {
        m_pool.stop();
        m_pool.join();
    }
    FaultyEndpoint(const FaultyEndpoint &) = delete;
    FaultyEndpoint &operator=(const FaultyEndpoint &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }
    [[nodiscard]] int runs() const noexcept
    {
        return m_runs;
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            asio::co_spawn(m_pool, serve(co_await m_acceptor.async_accept(asio::use_awaitable)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        const std::string refusal =
            "HTTP/1.1 503 Service Unavailable\r\nBerylspring-Not-Executed: 1\r\nContent-Length: 0\r\n";
        std::string buffer;
        for (;;) {
            boost::system::error_code error;
            const std::size_t size = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            const std::string request = buffer.substr(0, size);
            buffer.erase(0, size);
            const std::string idField = idFieldOf(request);
            std::string bytes = refusal + idField + "\r\n";
            if (request.find("/book/refused/") == std::string::npos) {
                ++m_runs;
                const bool isRepeated = request.find("/book/repeated/") != std::string::npos;
                bytes = isRepeated ? refusal + "\r\n" : std::string();
                bytes +=
                    "HTTP/1.1 200 OK\r\n" + idField + "Berylspring-Response-Stamp: stamp\r\nContent-Length: 0\r\n\r\n";
            }
            co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    static std::string idFieldOf(const std::string &request)
    {
        const std::size_t begin = request.find("Berylspring-Request-Id:");
        return begin == std::string::npos ? std::string()
                                          : request.substr(begin, request.find("\r\n", begin) + 2 - begin);
    }

    asio::thread_pool m_pool{1};
    tcp::acceptor m_acceptor{m_pool, {asio::ip::make_address("127.0.0.1"), 0}};
    std::atomic<int> m_runs{0};
};

/** The route of requests that may run once. */
const std::string BookRoute =
    R"({"Name":"r-book","PathPrefix":"/book/","Kind":"unsafe","TimeoutMs":5000,"Service":"visits","MaxAttempts":2,"Public":true},)";

}

TEST_GROUP(ARefusalComesTwice){};

// Guards against a 503 for a request that the endpoint ran, after the endpoint wrote an earlier refusal once more.
TEST(ARefusalComesTwice, andNoCallerIsToldThatItsRequestHasNotRun)
{
    FaultyEndpoint endpoint;
    test::PlatformFleet platform;
    int sequence = 0;
    const auto heartbeat = [&] {
        const std::string body = R"({"Address":"127.0.0.1:)" + std::to_string(endpoint.port())
                                 + R"(","Info":{"Service":"visits","Version":"v1","Zone":"a","Slots":8},)"
                                 + R"("Status":{"State":"ready","Seq":)" + std::to_string(++sequence)
                                 + R"(,"ColdRemainingMs":0},"born":1700000000000})";
        return platform.status(platform.first.endpointPort, "PUT", "/api/instances/i-1", body);
    };
    const auto book = [&](std::uint16_t port, const std::string &target) {
        heartbeat();
        return platform.status(port, "POST", "/book/" + target);
    };
    platform.store.put(
        test::ConfigTopic, test::ConfigKey, test::platformDocument(3, R"("key-1")", 1'000'000, BookRoute));
    for (const std::uint16_t port : {platform.first.callerPort, platform.second.callerPort}) {
        CHECK(waitUntil([&] { return book(port, "sound/1") == 200; }));
        section("a refusal of the endpoint is passed on", [&] {
            const int runs = endpoint.runs();
            LONGS_EQUAL(503, book(port, "refused/1"));
            LONGS_EQUAL(runs, endpoint.runs());
        });
        section("its repetition proves nothing", [&] {
            LONGS_EQUAL(200, book(port, "sound/2"));
            const int runs = endpoint.runs();
            LONGS_EQUAL(502, book(port, "repeated/1"));
            LONGS_EQUAL(runs + 1, endpoint.runs());
        });
        section("the next request gets its own answer", [&] { LONGS_EQUAL(200, book(port, "sound/3")); });
    }
}
