#include "berylspring/http/client.h"
#include "support/section.h"

#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr core::Duration ProbeTimeout = 1s;

}

TEST_GROUP(AServerThatEnds)
{
    asio::thread_pool pool{2};
    tcp::acceptor acceptor{pool, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    http::Client client{pool.get_executor(), "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), {}};

    bool isRefusing()
    {
        return asio::co_spawn(pool, client.isRefusingConnections(ProbeTimeout), asio::use_future).get();
    }
    void teardown() override
    {
        pool.stop();
        pool.join();
    }
};

// Guards against a crash that goes unnoticed, since the listening socket outlives the other connections for a moment.
TEST(AServerThatEnds, isRecognizedThoughItsListeningSocketClosesLast)
{
    auto result = asio::co_spawn(pool, client.isRefusingConnections(ProbeTimeout), asio::use_future);
    std::this_thread::sleep_for(5ms);
    acceptor.close();
    CHECK_TRUE(result.get());
    CHECK_TRUE(isRefusing());
}

// Guards against a running server that is taken for one that has ended, since it drops connections.
TEST(AServerThatEnds, isNotOneThatGoesOn)
{
    section("it keeps the connection open", [&] { CHECK_FALSE(isRefusing()); });
    section("it closes each connection at once", [&] {
        std::jthread closing([&](const std::stop_token &token) {
            acceptor.non_blocking(true);
            while (!token.stop_requested()) {
                boost::system::error_code error;
                tcp::socket socket(pool);
                acceptor.accept(socket, error);
                std::this_thread::sleep_for(100us);
            }
        });
        CHECK_FALSE(isRefusing());
    });
}
