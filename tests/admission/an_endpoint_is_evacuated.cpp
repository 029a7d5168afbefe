#include "admission/harness.h"
#include "berylspring/admission/endpoint_gate.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::callNamed;
using test::Harness;
using test::section;

namespace {

bool isRefusedAsDraining(const test::SentCall &call)
{
    return call.response && (*call.response)->refusal
           && (*call.response)->refusal->reason() == core::RefusalReason::Draining
           && (*call.response)->refusal->outcome() == core::Outcome::NotRun;
}

}

TEST_GROUP(AnEndpointIsEvacuated){};

// Guards against requests that reach the endpoint of an evacuated data centre, against running ones that are lost, and
// against an endpoint that stays out of use after its data centre was taken back.
TEST(AnEndpointIsEvacuated, andTakenBack)
{
    Harness harness;
    harness.service().setSlots(1);
    const auto running = harness.send(callNamed("running"));
    const auto waiting = harness.send(callNamed("waiting"));
    CHECK_TRUE(harness.running() == std::vector<std::string>{"running"});
    harness.service().setEvacuated(true);
    harness.poll();
    section("a waiting request is refused at once, as not run", [&] { CHECK_TRUE(isRefusedAsDraining(*waiting)); });
    section("a new one is refused too", [&] { CHECK_TRUE(isRefusedAsDraining(*harness.send(callNamed("new")))); });
    section("the running one completes, and nothing starts in its place", [&] {
        CHECK_FALSE(running->response.has_value());
        harness.finish("running");
        LONGS_EQUAL(200, (*running->response)->status);
        CHECK_TRUE(harness.running().empty());
    });
    section("the state and the count tell why", [&] {
        CHECK_TRUE(harness.service().state()->isEvacuated);
        CHECK_FALSE(harness.service().state()->isDraining);
        LONGS_EQUAL(2, harness.service().state()->counters.evacuated);
    });
    section("taken back, it takes requests again", [&] {
        harness.service().setEvacuated(false);
        const auto next = harness.send(callNamed("next"));
        CHECK_TRUE(harness.running() == std::vector<std::string>{"next"});
        harness.finish("next");
        LONGS_EQUAL(200, (*next->response)->status);
    });
    section("the end of an evacuation does not end a drain", [&] {
        harness.service().startDrain();
        harness.service().setEvacuated(true);
        harness.service().setEvacuated(false);
        CHECK_TRUE(isRefusedAsDraining(*harness.send(callNamed("late"))));
    });
}
