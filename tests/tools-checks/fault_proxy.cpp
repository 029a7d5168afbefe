#include "integration/harness/http_calls.h"
#include "integration/harness/process.h"
#include "support/section.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

constexpr auto CutTimeout = 300ms; // Long enough that the request has been sent; a busy machine only lengthens it.

/** @brief A fake endpoint behind a fault proxy. */
class ProxiedEndpoint
{
public:
    ProxiedEndpoint()
        : m_endpoint("endpoint", {program("fakeendpoint"), "--service-ms=0"}, m_directory.file("endpoint"))
        , m_proxy("proxy",
                  {program("faultproxy"), "--route=0=" + std::to_string(m_endpoint.waitForPort("service"))},
                  m_directory.file("proxy"))
        , m_route(m_proxy.waitForPort("route 0"))
        , m_control(m_proxy.waitForPort("control"))
    {
    }
    void change(const std::string &body)
    {
        m_calls.json(m_control, "PUT", "/control", body);
    }
    http::Result<http::Response> get(const std::string &target, core::Duration timeout = test::DefaultTimeout)
    {
        return m_calls.send(m_route, http::Request({.method = "GET", .target = target}), timeout);
    }
    std::int64_t arrivals()
    {
        const std::uint16_t port = m_endpoint.waitForPort("control");
        return m_calls.json(port, "GET", "/record").as_object().at("arrivals").as_int64();
    }

private:
    static std::string program(const std::string &name)
    {
        return BERYLSPRING_BINARY_DIR "/tests/berylspring-" + name;
    }

    test::TemporaryDirectory m_directory;
    test::Process m_endpoint;
    test::Process m_proxy;
    std::uint16_t m_route;
    std::uint16_t m_control;
    test::HttpCalls m_calls;
};

}

TEST_GROUP(FaultProxy){};

TEST(FaultProxy, dropsDataOnlyInTheCutDirection)
{
    ProxiedEndpoint endpoint;
    section("nothing is cut", [&] { LONGS_EQUAL(200, endpoint.get("/0?size=300000").value()->status); });
    section("towards the target: the request never arrives, and the connection stays open", [&] {
        endpoint.change(R"({"cut":"to"})");
        CHECK(endpoint.get("/1", CutTimeout).error().code() == http::ErrorCode::Timeout);
        LONGS_EQUAL(1, endpoint.arrivals());
    });
    section("back from the target: the request arrives, its response does not", [&] {
        endpoint.change(R"({"route":0,"cut":"from"})");
        CHECK(endpoint.get("/2", CutTimeout).error().code() == http::ErrorCode::Timeout);
        CHECK(test::waitUntil([&] { return endpoint.arrivals() == 2; }));
    });
    section("after the cut a new connection works", [&] {
        endpoint.change(R"({"cut":"none"})");
        LONGS_EQUAL(200, endpoint.get("/3").value()->status);
    });
    section("part of a response is forwarded, then both directions are cut", [&] {
        endpoint.change(R"({"half":2000})");
        CHECK(endpoint.get("/4?size=100000", CutTimeout).error().code() == http::ErrorCode::Timeout);
        endpoint.change(R"({"cut":"none"})");
        LONGS_EQUAL(200, endpoint.get("/5").value()->status);
    });
    section("the client sees a closed connection immediately", [&] {
        std::thread closer([&] {
            CHECK(test::waitUntil([&] { return endpoint.arrivals() == 6; }));
            endpoint.change(R"({"close":true})");
        });
        const auto result = endpoint.get("/6?work_ms=3600000");
        closer.join();
        CHECK(result.error().code() == http::ErrorCode::ConnectionLost);
    });
    section("a delay applies to both directions", [&] {
        endpoint.change(R"({"delay_ms":50})");
        const auto begin = std::chrono::steady_clock::now();
        LONGS_EQUAL(200, endpoint.get("/7").value()->status);
        CHECK(std::chrono::steady_clock::now() - begin >= 100ms);
    });
}

TEST(FaultProxy, returnsDatagramsToTheirSender)
{
    boost::asio::io_context context;
    using boost::asio::ip::udp;
    const auto loopback = boost::asio::ip::address_v4::loopback();
    udp::socket target(context, udp::endpoint(loopback, 0));
    udp::socket client(context, udp::endpoint(loopback, 0));
    test::TemporaryDirectory directory;
    test::Process proxy("proxy",
                        {BERYLSPRING_BINARY_DIR "/tests/berylspring-faultproxy",
                         "--route=0=" + std::to_string(target.local_endpoint().port())},
                        directory.file("proxy"));
    const udp::endpoint route(loopback, proxy.waitForPort("route 0"));
    const std::uint16_t control = proxy.waitForPort("control");
    test::HttpCalls calls;
    const auto roundTrip = [&](char text) {
        udp::endpoint sender;
        char byte = 0;
        client.send_to(boost::asio::buffer(&text, 1), route);
        target.receive_from(boost::asio::buffer(&byte, 1), sender);
        target.send_to(boost::asio::buffer(&byte, 1), sender);
        client.receive_from(boost::asio::buffer(&byte, 1), sender);
        return byte;
    };
    section("datagrams are forwarded both ways", [&] { BYTES_EQUAL('a', roundTrip('a')); });
    section("a dropped datagram is not delivered later", [&] {
        calls.json(control, "PUT", "/control", R"({"loss":1})");
        const char lost = 'b';
        client.send_to(boost::asio::buffer(&lost, 1), route);
        CHECK(test::waitUntil([&] {
            return calls.json(control, "GET", "/control").as_object().at("dropped_datagrams").as_array().at(0) == 1;
        }));
        calls.json(control, "PUT", "/control", R"({"loss":0})");
        BYTES_EQUAL('c', roundTrip('c'));
    });
}
