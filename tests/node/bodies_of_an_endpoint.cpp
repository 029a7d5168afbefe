#include "berylspring/core/clock.h"
#include "berylspring/node/local_endpoint.h"
#include "platform/adapter.h"
#include "support/section.h"

#include <chrono>
#include <future>
#include <latch>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/** The body limit on the users' platform; a single body may be this large. */
constexpr std::uint64_t MaxBodyBytes = 16ULL * 1024 * 1024;
constexpr int CallCount = 4;

/** @brief Answers each call with a body of the size limit and withholds the last byte until all have been written. */
class LargeBodies
{
public:
    explicit LargeBodies(int calls)
        : m_written(calls)
    {
        for (int call = 0; call < calls; ++call) {
            m_threads.emplace_back([this] { answer(m_acceptor.accept()); });
        }
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void answer(tcp::socket socket)
    {
        boost::system::error_code error;
        std::string head;
        asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
        const std::string id = head.substr(head.find('/') + 1, head.find(" HTTP") - head.find('/') - 1);
        const std::string fields =
            "HTTP/1.1 200 OK\r\nBerylspring-Request-Id: " + id
            + "\r\nBerylspring-Response-Stamp: stamp\r\nContent-Length: " + std::to_string(MaxBodyBytes) + "\r\n\r\n";
        asio::write(socket, asio::buffer(fields), error);
        asio::write(socket, asio::buffer(std::string(MaxBodyBytes - 1, 'x')), error);
        m_written.arrive_and_wait();
        asio::write(socket, asio::buffer("x", 1), error);
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
    std::latch m_written;
    std::vector<std::jthread> m_threads;
};

/** @return The number of calls, all made at the same time, that an endpoint with large bodies has answered. */
int answeredCalls(int calls)
{
    asio::thread_pool pool(2);
    const node::Protocols protocols = platform::makeProtocols(node::Settings(node::SettingsFields{}));
    node::InFlightTable inFlight{core::systemRandom()};
    LargeBodies server(calls);
    node::LocalEndpoint endpoint(
        pool.get_executor(), MaxBodyBytes, protocols, inFlight, core::systemRandom(), [](const telemetry::Span &) {});
    endpoint.heartbeat({.announcement = {.service = core::ServiceId("visits"),
                                         .address = server.address(),
                                         .slots = CallCount,
                                         .id = "i-1",
                                         .incarnation = 1},
                        .sequence = 1},
                       core::bootTime());
    std::vector<std::future<admission::EndpointResult>> results;
    for (int call = 0; call < calls; ++call) {
        const std::string id = "r-" + std::to_string(call);
        const wire::CallRequest request({.service = core::ServiceId("visits"),
                                         .method = "GET",
                                         .target = "/" + id,
                                         .headers = {{"Berylspring-Request-Id", id}},
                                         .remaining = 60s,
                                         .requestId = id});
        results.push_back(asio::co_spawn(pool, endpoint.call(request), asio::use_future));
    }
    int answered = 0;
    for (auto &result : results) {
        const wire::CallResponse response = result.get().response;
        answered += response->refusal ? 0 : 1;
        if (response->refusal) {
            CHECK_TRUE(response->refusal->outcome() == core::Outcome::Unknown);
        }
    }
    return answered;
}

}

TEST_GROUP(BodiesOfAnEndpoint){};

// Guards against a node whose memory is exhausted by large answers of its endpoint, since each one alone is allowed.
TEST(BodiesOfAnEndpoint, shareOneBudget)
{
    section("a single body of the size limit passes", [] { LONGS_EQUAL(1, answeredCalls(1)); });
    section("of four at once, at most as many pass as the budget of two holds",
            [] { CHECK_TRUE(answeredCalls(CallCount) <= 2); });
}
