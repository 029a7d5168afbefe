#include "berylspring/telemetry/loop_delay.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

TEST_GROUP(TimersThatAreLate)
{
    telemetry::LoopDelay delay;
    core::TimePoint due{1h};
};

TEST(TimersThatAreLate, showHowLongTheEventLoopIsBusy)
{
    section("no timer shows no delay", [&] {
        CHECK(delay.mean() == 0ms);
        CHECK(delay.longest() == 0ms);
    });
    section("a late timer counts in the mean and as the longest", [&] {
        delay = delay.withTimer(due, due + 30ms).withTimer(due, due + 10ms);
        CHECK(delay.mean() == 20ms);
        CHECK(delay.longest() == 30ms);
    });
    section("one that is early counts as punctual", [&] {
        delay = delay.withTimer(due, due - 5ms).withTimer(due, due);
        CHECK(delay.mean() == 10ms);
        CHECK(delay.longest() == 30ms);
    });
}
