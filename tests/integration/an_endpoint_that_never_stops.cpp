#include "integration/harness/platform_fleet.h"
#include "support/section.h"

#include <atomic>
#include <fstream>
#include <future>
#include <string>
#include <vector>

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
using namespace std::chrono_literals;
using test::section;
using test::waitUntil;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/** Memory of the smallest hosts of the users' platform. */
constexpr std::size_t HostMemoryKilobytes = 160'000;
constexpr int Slots = 16;
constexpr std::size_t PieceBytes = 65'536;

/** @brief Bytes that an endpoint writes once, and then again and again until the connection is closed. */
struct Flood
{
    std::string name;
    std::string start;
    std::string repeated;
};

/** @return Status line and fields of a proper answer to a request. */
std::string headOf(const std::string &request)
{
    const std::size_t begin = request.find("Berylspring-Request-Id:");
    const std::string idField =
        begin == std::string::npos ? "" : request.substr(begin, request.find("\r\n", begin) + 2 - begin);
    return "HTTP/1.1 200 OK\r\nBerylspring-Response-Stamp: stamp\r\n" + idField;
}

/** @param head Head of a proper answer, without the empty line. */
std::vector<Flood> floodsAfter(const std::string &head)
{
    const std::string text(PieceBytes, 'x');
    return {{"no-answer", "", text},
            {"zeros", "", std::string(PieceBytes, '\0')},
            {"field", head + "Field: ", text},
            {"fields", head, "Field: value\r\n"},
            {"body", head + "\r\n", text},
            {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + text + "\r\n"},
            {"extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", text},
            {"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n"},
            {"early-hints", "", "HTTP/1.1 103 Early Hints\r\n\r\n"}};
}

/** @brief Writes the flood that a request names in its path, and answers all other requests. */
class FloodingEndpoint
{
public:
    FloodingEndpoint()
    {
        asio::co_spawn(m_pool, accept(), asio::detached);
    }
    ~FloodingEndpoint()
    {
        m_pool.stop();
        m_pool.join();
    }
    FloodingEndpoint(const FloodingEndpoint &) = delete;
    FloodingEndpoint &operator=(const FloodingEndpoint &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }
    /** @return Requests that were answered with a flood. */
    [[nodiscard]] int floods() const noexcept
    {
        return m_floods;
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
        boost::system::error_code error;
        std::string request;
        co_await asio::async_read_until(
            socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
        const std::string head = headOf(request);
        std::string next = head + "Connection: close\r\nContent-Length: 0\r\n\r\n";
        for (const Flood &flood : floodsAfter(head)) {
            if (request.find("/open/" + flood.name + "/") != std::string::npos) {
                ++m_floods;
                next = flood.start;
                while (!error) {
                    co_await asio::async_write(
                        socket, asio::buffer(next), asio::redirect_error(asio::use_awaitable, error));
                    next = flood.repeated;
                }
                co_return;
            }
        }
        co_await asio::async_write(socket, asio::buffer(next), asio::redirect_error(asio::use_awaitable, error));
    }

    std::atomic<int> m_floods{0};
    asio::thread_pool m_pool{1};
    tcp::acceptor m_acceptor{m_pool, {asio::ip::make_address("127.0.0.1"), 0}};
};

/** @return Largest resident memory of a process so far; 0 if it has ended. */
std::size_t peakKilobytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

}

TEST_GROUP(AnEndpointThatNeverStops)
{
    FloodingEndpoint endpoint;
    test::PlatformFleet platform;
    test::HttpCalls calls{2};
    int sequence = 0;

    int get(const std::string &target)
    {
        const std::string body = R"({"Address":"127.0.0.1:)" + std::to_string(endpoint.port())
                                 + R"(","Info":{"Service":"visits","Version":"v1","Zone":"a","Slots":)"
                                 + std::to_string(Slots) + R"(},"Status":{"State":"ready","Seq":)"
                                 + std::to_string(++sequence) + R"(,"ColdRemainingMs":0},"born":1700000000000})";
        platform.status(platform.first.endpointPort, "PUT", "/api/instances/i-1", body);
        return platform.status(platform.first.callerPort, "GET", target);
    }
    int flood(const std::string &target, const std::string &id)
    {
        const http::Request request({.method = "GET",
                                     .target = target,
                                     .host = "visits.example",
                                     .headers = {{"Berylspring-Request-Id", id}, {"Berylspring-Deadline-Ms", "1000"}}});
        const auto response = calls.send(platform.first.callerPort, request, 10s);
        return response ? (*response)->status : 0;
    }
};

// Guards against a process that collects bytes which are no answer until its memory is used up.
TEST(AnEndpointThatNeverStops, costsNeitherMemoryNorTheAnswersOfOthers)
{
    platform.store.put(test::ConfigTopic, test::ConfigKey, test::platformDocument(3, R"("key-1")"));
    CHECK(waitUntil([&] { return get("/open/sound/") == 200; }));
    for (const Flood &kind : floodsAfter("")) {
        section(kind.name, [&] {
            const int floodsBefore = endpoint.floods();
            std::vector<std::future<int>> answers;
            for (int i = 0; i < Slots; ++i) {
                answers.push_back(std::async(std::launch::async, [&, i] {
                    return flood("/open/" + kind.name + "/" + std::to_string(i), kind.name + std::to_string(i));
                }));
            }
            for (auto &answer : answers) {
                const int status = answer.get();
                CHECK_TEXT(status >= 500, ("status " + std::to_string(status)).c_str());
            }
            CHECK_TEXT(endpoint.floods() > floodsBefore, "no request reached the endpoint");
            LONGS_EQUAL(200, get("/open/sound/"));
            const std::size_t peak = peakKilobytes(platform.first.process.id());
            CHECK_TEXT(peak > 0 && peak < HostMemoryKilobytes, ("peak " + std::to_string(peak) + " kB").c_str());
        });
    }
}
