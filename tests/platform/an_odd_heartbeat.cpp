#include "berylspring/node/local_endpoint.h"
#include "berylspring/node/protocols.h"
#include "platform/heartbeat_codec.h"
#include "support/section.h"

#include <chrono>
#include <string>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::checkProperty;
using test::section;

namespace {

const core::ServiceId service("history");
/** Some days after the start of the proper endpoint. */
const core::WallTime now{1'700'400'000s};

const std::string Proper = R"({"Address":"10.128.0.9:8080",
    "Info":{"Service":"history","Version":"v1","Zone":"bole","Slots":54},
    "Status":{"State":"ready","Seq":4,"ColdRemainingMs":0},"born":1700000000123})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string withAddress(const std::string &address)
{
    return replaced(Proper, "10.128.0.9:8080", address);
}

std::string repeated(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

std::string withSequence(int sequence)
{
    return replaced(Proper, R"("Seq":4)", R"("Seq":)" + std::to_string(sequence));
}

}

TEST_GROUP(AnOddHeartbeat)
{
    boost::asio::io_context context;
    node::Protocols protocols = node::nativeProtocols();
    node::InFlightTable inFlight{core::systemRandom()};
    node::LocalEndpoint endpoint{
        context.get_executor(), 1024, protocols, inFlight, core::systemRandom(), [](const telemetry::Span &) {}};
    core::TimePoint monotonic{1h};
    int sequence = 4;

    int send(const std::string &method, const std::string &target, const std::string &body)
    {
        const node::EndpointApiHooks hooks{
            .heartbeat =
                [&](const http::EndpointHeartbeat &heartbeat) { (void)endpoint.heartbeat(heartbeat, monotonic); },
            .leave =
                [&](const http::EndpointLeave &leave) {
                    if (endpoint.leave(leave)) {
                        endpoint.drain();
                    }
                },
            .reportLoad = {}};
        return platform::handleHeartbeat(
                   http::Request({.method = method, .target = target, .body = body}), hooks, service, now)
            ->status;
    }
    int put(const std::string &body, const std::string &id = "i-9")
    {
        return send("PUT", "/api/instances/" + id, body);
    }
    /** Whether the endpoint is still registered and its next heartbeat extends the registration. */
    bool isFollowed()
    {
        monotonic += 1s;
        const int status = put(withSequence(++sequence), "i-1");
        return status == 200 && endpoint.leave({.id = "i-1"}) && !endpoint.isDraining()
               && endpoint.slots(monotonic + node::LocalEndpoint::AnnouncementLifetime) == 54;
    }
    void checkRefused(const std::string &title, const std::string &body)
    {
        section(title, [&] {
            LONGS_EQUAL(400, put(body));
            CHECK_TRUE(isFollowed());
        });
    }
    void setup() override
    {
        LONGS_EQUAL(200, put(Proper, "i-1"));
    }
};

// Guards against an address that no request can be sent to and that replaces the endpoint of the host.
TEST(AnOddHeartbeat, withAnAddressThatIsNoneIsRefused)
{
    for (const std::string address : {"10.128.0.9:99999",
                                      "10.128.0.9:65536",
                                      "10.128.0.9:0",
                                      "10.128.0.9:-1",
                                      "10.128.0.9:",
                                      "10.128.0.9",
                                      ":8080",
                                      "10.128.0.9:8080 ",
                                      " 10.128.0.9:8080",
                                      "10.128.0.9 :8080",
                                      "localhost:8080",
                                      "10.128.0.256:8080",
                                      "10.128.0.9:80:80",
                                      "10.128.0.9:0x50",
                                      "10.128.0.9:184467440737095516170",
                                      "0.0.0.0:8080",
                                      "[::]:8080",
                                      "224.0.0.1:8080",
                                      "255.255.255.255:8080",
                                      "[::1:8080",
                                      "10.128.0.9\\u0000x:8080",
                                      "10.128.0.9:8080\\u0000"}) {
        checkRefused(address, withAddress(address));
    }
    checkRefused("a text of 200 KB", withAddress(std::string(200'000, '1') + ":1"));
    section("an IPv6 number with a port is accepted", [&] { LONGS_EQUAL(200, put(withAddress("[::1]:8080"), "i-1")); });
}

// Guards against a start that cannot be: the heartbeats of the endpoint would count as those of an earlier incarnation.
TEST(AnOddHeartbeat, withAnIncarnationThatCannotBeIsRefused)
{
    for (const std::string born : {"9223372036854775807",
                                   "9223372036854775808",
                                   "18446744073709551616",
                                   "1e18",
                                   "1e400",
                                   "1700000000123.5",
                                   "-1",
                                   "\"1700000000123\"",
                                   "null",
                                   "[]",
                                   "4102444800000"}) {
        checkRefused(born, replaced(Proper, "1700000000123", born));
    }
}

// Guards against numbers that cannot be: after a sequence number far ahead, all later heartbeats would count as late.
TEST(AnOddHeartbeat, withNumbersOutOfRangeIsRefused)
{
    for (const std::string number :
         {"9223372036854775807", "18446744073709551615", "18446744073709551616", "1e400", "-1", "1.5", "1e30"}) {
        checkRefused("Seq " + number, replaced(Proper, R"("Seq":4)", R"("Seq":)" + number));
        checkRefused("Slots " + number, replaced(Proper, "54", number));
        // This part is not used, so a fraction of a millisecond must not cost the endpoint its heartbeat.
        const std::string odd = replaced(Proper, R"("ColdRemainingMs":0)", R"("ColdRemainingMs":)" + number);
        if (number == "1.5") {
            CHECK_TRUE(platform::decodeHeartbeat("i-1", odd, service, now).has_value());
        } else {
            checkRefused("ColdRemainingMs " + number, odd);
        }
    }
}

// Guards against an entry of another writer, which has not all parts or names another service, that replaces the
// endpoint of the host.
TEST(AnOddHeartbeat, thatIsNotOfTheEndpointOfThisHostIsRefused)
{
    for (const std::string part :
         {R"("Version":"v1",)", R"("Zone":"bole",)", R"(,"ColdRemainingMs":0)", R"("Seq":4,)", R"("State":"ready",)"}) {
        checkRefused("without " + part, replaced(Proper, part, ""));
    }
    checkRefused("Version as a number", replaced(Proper, R"("v1")", "1"));
    checkRefused("Zone as an object", replaced(Proper, R"("bole")", "{}"));
    checkRefused("Info as a text", replaced(Proper, R"("Info":{)", R"("Info":"history","Other":{)"));
    checkRefused("another service", replaced(Proper, "history", "visits"));
    section("any service while that of the host is unknown",
            [&] { CHECK_TRUE(platform::decodeHeartbeat("i-1", Proper, core::ServiceId(), now).has_value()); });
}

// Guards against a body that cannot be read and that ends the process or the registered endpoint.
TEST(AnOddHeartbeat, thatIsNestedDeeplyOrNotTextIsRefused)
{
    const std::string nested = repeated("[", 10'000) + repeated("]", 10'000);
    checkRefused("a nested body", nested);
    checkRefused("a nested part", replaced(Proper, "54", nested));
    checkRefused("a nested part beside the others",
                 replaced(Proper, R"("born")", R"("Extra":)" + nested + R"(,"born")"));
    checkRefused("objects", replaced(Proper, "54", repeated(R"({"a":)", 10'000) + "1" + repeated("}", 10'000)));
    checkRefused("bytes that are not UTF-8", replaced(Proper, "history", "\xff\xfe"));
    checkRefused("a NUL byte", replaced(Proper, "history", std::string("hist\0ory", 8)));
    checkRefused("a long service", replaced(Proper, "history", std::string(200'000, 'h')));
    checkRefused("an empty body", "");
    section("arbitrary changes", [&] {
        checkProperty("leave a heartbeat that is refused or has values in range", [&](std::uint16_t place) {
            std::string body = Proper;
            const auto piece = *rc::gen::element<std::string>("[",
                                                              "]",
                                                              "{",
                                                              "}",
                                                              "\"",
                                                              "-",
                                                              "9",
                                                              "99999999999999999999",
                                                              "1e400",
                                                              ":",
                                                              "\\u0000",
                                                              "\xff",
                                                              "null",
                                                              ",");
            body.replace(place % body.size(), *rc::gen::inRange<std::size_t>(0, 4), piece);
            const auto heartbeat = platform::decodeHeartbeat("i-9", body, service, now);
            if (heartbeat) {
                RC_ASSERT(http::isServerAddress(heartbeat->announcement.address));
                RC_ASSERT(heartbeat->announcement.service == service);
                RC_ASSERT(heartbeat->announcement.slots >= 1U);
            }
        });
    });
}

// Guards against a leave that names no endpoint and ends the one of this host, and against an id that is too long for
// the header of the requests to the endpoint.
TEST(AnOddHeartbeat, thatNamesNoEndpointIsRefused)
{
    section("a leave without an id", [&] {
        LONGS_EQUAL(400, send("DELETE", "/api/instances/", ""));
        LONGS_EQUAL(400, send("DELETE", "/api/instances/?x=1", ""));
        CHECK_TRUE(isFollowed());
    });
    section("a leave of another endpoint", [&] {
        LONGS_EQUAL(200, send("DELETE", "/api/instances/i-8", ""));
        CHECK_TRUE(isFollowed());
    });
    section("a heartbeat without an id, or with a long one", [&] {
        LONGS_EQUAL(400, put(Proper, ""));
        LONGS_EQUAL(400, put(Proper, std::string(10'000, 'i')));
        CHECK_TRUE(isFollowed());
    });
}
