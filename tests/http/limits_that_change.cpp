#include "berylspring/http/client.h"
#include "berylspring/http/server.h"
#include "support/section.h"

#include <array>
#include <mutex>
#include <stdexcept>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;

/** Far above the expected times, so that tests pass on a busy machine. */
constexpr auto DefaultTimeout = std::chrono::seconds(30);

class LimitedServer
{
public:
    LimitedServer()
        : m_server(
            m_pool.get_executor(),
            accept,
            [this] { return options(); },
            [this](const http::RejectedRequest &request) { record(request); })
        , m_port(m_server.listen("127.0.0.1", 0).value())
    {
    }
    ~LimitedServer()
    {
        m_server.close();
        m_pool.join();
    }
    LimitedServer(const LimitedServer &) = delete;
    LimitedServer &operator=(const LimitedServer &) = delete;

    void setOptions(const http::ServerOptions &options)
    {
        const std::scoped_lock lock(m_mutex);
        m_options = options;
    }
    std::uint16_t post(std::size_t bytes)
    {
        http::Client client(m_pool.get_executor(), "127.0.0.1:" + std::to_string(m_port), {});
        const http::Request request({.method = "POST", .target = "/", .body = std::string(bytes, 'x')});
        const auto response = asio::co_spawn(m_pool, client.send(request, DefaultTimeout), asio::use_future).get();
        return response ? (*response)->status : 0;
    }
    /** @return The last request that the server rejected. */
    http::RejectedRequest lastRejected()
    {
        const std::scoped_lock lock(m_mutex);
        return m_rejected;
    }
    /** @return Whether the server closes a connection after only these bytes were sent. */
    [[nodiscard]] bool closesAfter(const std::string &bytes) const
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_port});
        asio::write(socket, asio::buffer(bytes));
        std::array<char, 1024> piece{};
        boost::system::error_code error;
        while (!error) {
            socket.read_some(asio::buffer(piece), error);
        }
        return error == asio::error::eof || error == asio::error::connection_reset;
    }

private:
    static asio::awaitable<http::Reply> accept(http::Request request)
    {
        if (request->target == "/throws") {
            throw std::runtime_error("out of luck");
        }
        co_return http::Reply(http::Response({.status = 200}));
    }
    http::ServerOptions options()
    {
        const std::scoped_lock lock(m_mutex);
        return m_options;
    }
    void record(const http::RejectedRequest &request)
    {
        const std::scoped_lock lock(m_mutex);
        m_rejected = request;
    }

    std::mutex m_mutex;
    http::ServerOptions m_options;
    http::RejectedRequest m_rejected;
    asio::thread_pool m_pool{2};
    http::Server m_server;
    std::uint16_t m_port;
};

}

TEST_GROUP(LimitsThatChange){};

// Guards against a node that keeps the limits from its start after its configuration has changed.
TEST(LimitsThatChange, applyToTheNextRequest)
{
    LimitedServer server;
    section("a body over the new limit", [&] {
        LONGS_EQUAL(200, server.post(1000));
        server.setOptions({.bodyLimitBytes = 999});
        LONGS_EQUAL(413, server.post(1000));
        server.setOptions({});
        LONGS_EQUAL(200, server.post(1000));
    });
    section("an idle connection is closed", [&] {
        server.setOptions({.idleTimeout = 20ms});
        CHECK_TRUE(server.closesAfter("GET / HTTP/1.1\r\nHost: test\r\n\r\n"));
    });
    section("a connection with an incomplete header is closed", [&] {
        server.setOptions({.headerTimeout = 20ms, .readTimeout = DefaultTimeout});
        CHECK_TRUE(server.closesAfter("GET / HTTP/1.1\r\nHost: "));
    });
}

// Guards against requests that are rejected without a trace in the log of the node.
TEST(LimitsThatChange, reportTheRequestsThatTheyReject)
{
    LimitedServer server;
    section("a body over the limit is reported with its target", [&] {
        server.setOptions({.bodyLimitBytes = 999});
        LONGS_EQUAL(413, server.post(1000));
        LONGS_EQUAL(413, server.lastRejected().status);
        STRCMP_EQUAL("/", server.lastRejected().target.c_str());
    });
    section("a request whose handler throws is reported with the error", [&] {
        CHECK_TRUE(server.closesAfter("GET /throws HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"));
        LONGS_EQUAL(500, server.lastRejected().status);
        STRCMP_EQUAL("/throws", server.lastRejected().target.c_str());
        STRCMP_EQUAL("out of luck", server.lastRejected().detail.c_str());
    });
    section("a request that cannot be parsed is reported", [&] {
        CHECK_TRUE(server.closesAfter("no request\r\n\r\n"));
        LONGS_EQUAL(400, server.lastRejected().status);
    });
}
