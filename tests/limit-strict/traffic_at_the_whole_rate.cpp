#include "limit/conforming_traffic.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::Fleet;
using test::section;

TEST_GROUP(TrafficAtTheWholeRate){};

// Guards against refusing conforming traffic in a steady state, up to the whole rate and burst.
TEST(TrafficAtTheWholeRate, isNotRefused)
{
    const limit::WorkspaceLimit limit(3000, 300);
    section("moving to the next data centre every 700 ms", [&] {
        Fleet fleet(test::fleetWith(limit));
        int count = 0;
        test::ConformingTraffic traffic(fleet, limit, 1.0, [&](core::Duration time) {
            return static_cast<int>(time / 700ms) % 3 * 2 + count++ % 2;
        });
        traffic.sendBetween(test::Settled, test::Settled + 10s);
        fleet.run(test::Settled + 11s);
        LONGS_EQUAL(0, fleet.refusals());
    });
}

// Guards against refusing a full burst at one data centre while the rest of the rate is in use.
TEST(TrafficAtTheWholeRate, isNotRefusedWithFullBursts)
{
    const limit::WorkspaceLimit limit(3000, 3000);
    section("a full burst at one data centre every 10 s and 80% of the rate", [&] {
        Fleet fleet(test::fleetWith(limit));
        int count = 0;
        test::ConformingTraffic traffic(fleet, limit, 0.8, [&](core::Duration) { return count++ % 2; });
        for (core::Duration time = test::Settled; time < test::Settled + 20s; time += 10s) {
            for (int i = 0; i < limit.burst(); ++i) {
                traffic.send(time);
            }
            traffic.sendBetween(time + 1ms, time + 10s);
        }
        fleet.run(test::Settled + 21s);
        LONGS_EQUAL(0, fleet.refusals());
    });
}
