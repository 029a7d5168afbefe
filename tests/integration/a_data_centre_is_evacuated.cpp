#include "integration/harness/platform_fleet.h"
#include "support/section.h"

#include <chrono>
#include <string>

#include <boost/asio/thread_pool.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::ConfigKey;
using test::ConfigTopic;
using test::platformDocument;
using test::section;
using test::waitUntil;

namespace {

/** Time from the store's answer to the operator until nothing more may reach the data centre, as on the platform. */
constexpr auto EvacuationBound = 5s;

}

TEST_GROUP(ADataCentreIsEvacuated)
{
    boost::asio::thread_pool pool{1};
    test::PlatformFleet platform;
    test::StampingEndpoint otherEndpoint{pool.get_executor()}; ///< In data centre b; platform.upstream is in a.
    test::PlatformNode third = platform.start("h3", "b", "visits");
    int sequence = 0;

    void heartbeats()
    {
        platform.heartbeat("ready");
        const std::string body =
            R"({"Address":"127.0.0.1:)" + std::to_string(otherEndpoint.port())
            + R"(","Info":{"Service":"visits","Version":"v1","Zone":"b","Slots":8},"Status":{"State":"ready","Seq":)"
            + std::to_string(++sequence) + R"(,"ColdRemainingMs":0},"born":1700000000000})";
        platform.status(third.endpointPort, "PUT", "/api/instances/i-2", body);
    }
    int send(std::uint16_t port)
    {
        heartbeats();
        return platform.status(port, "GET", "/open/1");
    }
    /** @return Whether requests at all entries soon run in one data centre only, within the bound. */
    bool runsOnlyIn(const test::StampingEndpoint &used, const test::StampingEndpoint &unused)
    {
        const auto until = std::chrono::steady_clock::now() + EvacuationBound;
        while (std::chrono::steady_clock::now() < until) {
            const int before = unused.runs();
            const int ran = used.runs();
            bool areServed = true;
            for (int i = 0; i < 5; ++i) {
                for (const std::uint16_t port :
                     {platform.first.callerPort, platform.second.callerPort, third.callerPort}) {
                    areServed = send(port) == 200 && areServed;
                }
            }
            if (areServed && unused.runs() == before && used.runs() == ran + 15) {
                return true;
            }
        }
        return false;
    }
};

// Guards against real nodes that still send to an evacuated data centre, or no longer after its return.
TEST(ADataCentreIsEvacuated, andTakenBack)
{
    platform.store.put(ConfigTopic, ConfigKey, platformDocument(3, R"("key-1")"));
    for (const std::uint16_t port : {platform.first.callerPort, platform.second.callerPort, third.callerPort}) {
        CHECK(waitUntil([&] { return send(port) == 200; }));
    }
    section("before, the entry of data centre a uses its own endpoint", [&] {
        CHECK(waitUntil([&] {
            const int before = platform.upstream.runs();
            return send(platform.first.callerPort) == 200 && platform.upstream.runs() > before;
        }));
    });
    section("after the store took the record, requests of all entries run in data centre b", [&] {
        platform.store.put(ConfigTopic, "evacuate/a", "{}");
        CHECK(runsOnlyIn(otherEndpoint, platform.upstream));
    });
    section("they do so after a compaction of the log and while the store is down", [&] {
        platform.store.compact(ConfigTopic);
        platform.store.setUnavailable(true);
        CHECK(runsOnlyIn(otherEndpoint, platform.upstream));
        platform.store.setUnavailable(false);
    });
    section("both data centres: every request is refused with 503", [&] {
        platform.store.put(ConfigTopic, "evacuate/b", "{}");
        for (const std::uint16_t port : {platform.first.callerPort, platform.second.callerPort, third.callerPort}) {
            CHECK(waitUntil([&] { return send(port) == 503; }));
        }
    });
    section("a is taken back and serves all requests, b is still evacuated", [&] {
        platform.store.put(ConfigTopic, "evacuate/a", "");
        CHECK(runsOnlyIn(platform.upstream, otherEndpoint));
    });
    section("a new document leaves that in force", [&] {
        platform.store.put(ConfigTopic, ConfigKey, platformDocument(4, R"("key-1")"));
        CHECK(platform.waitForStatus(401, platform.second.callerPort, "/past/1", "key-9"));
        CHECK(runsOnlyIn(platform.upstream, otherEndpoint));
    });
}
