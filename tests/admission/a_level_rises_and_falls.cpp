#include "berylspring/admission/admitted_level.h"
#include "berylspring/admission/endpoint_gate.h"
#include "berylspring/admission/entry_shedding.h"
#include "support/section.h"

#include <chrono>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using admission::AdmittedLevel;
using admission::EntryShedding;
using test::section;

namespace {

const core::TimePoint startTime{1000h};

}

TEST_GROUP(ALevelRisesAndFalls){};

// Guards against oscillation: a level that falls at once readmits all shed requests together and rises again.
TEST(ALevelRisesAndFalls, atOnceAndStepByStep)
{
    const auto raised = AdmittedLevel().withPressure(3, startTime);
    LONGS_EQUAL(3, raised.level(startTime));
    LONGS_EQUAL(3, raised.level(startTime + 199ms));
    LONGS_EQUAL(2, raised.level(startTime + 200ms));
    LONGS_EQUAL(0, raised.level(startTime + 600ms));
    section("new overload at the level holds it, overload below it does not", [&] {
        LONGS_EQUAL(3, raised.withPressure(3, startTime + 100ms).level(startTime + 299ms));
        LONGS_EQUAL(2, raised.withPressure(1, startTime + 100ms).level(startTime + 200ms));
        LONGS_EQUAL(1, raised.withPressure(1, startTime + 500ms).level(startTime + 600ms));
    });
}

// Guards against a level above the lowest priority that is still served, which entry nodes would then shed.
TEST(ALevelRisesAndFalls, neverAboveTheLowestWorkThatIsServed)
{
    admission::AdmissionSettings settings;
    settings.maxQueueLength = 2;
    admission::EndpointGate gate(settings, startTime);
    CHECK(gate.setSlots(1, startTime).empty());
    std::uint64_t id = 0;
    const auto arrive = [&](core::PriorityLevel priority) {
        admission::QueueEntryFields fields;
        fields.id = ++id;
        fields.priority = priority;
        fields.deadline = startTime + 1h;
        return gate.arrive(admission::QueueEntry(fields), false, startTime).decision.kind;
    };
    for (int i = 0; i < 10; ++i) {
        arrive(4);
    }
    section("overload by a single priority", [&] { LONGS_EQUAL(4, gate.state(startTime).admittedLevel); });
    section("requests below it are refused, requests above it are queued", [&] {
        CHECK(arrive(3) == admission::AdmissionDecision::Kind::Refuse);
        CHECK(arrive(5) == admission::AdmissionDecision::Kind::Wait);
        LONGS_EQUAL(4, gate.state(startTime).admittedLevel);
    });
}

// Guards against an entry node that sheds forever on an outdated level: probes and aging must lower it.
TEST(ALevelRisesAndFalls, atTheEntryWithAProbeShare)
{
    auto next = std::make_shared<std::uint64_t>(0);
    EntryShedding shedding([next] { return (*next)++; });
    const admission::EndpointKey endpoint{core::HostId("h1"), core::ServiceId("visits")};
    shedding.recordLevel(endpoint, 3, startTime);
    section("below the level one in a hundred is sent as a probe", [&] {
        int sent = 0;
        for (int i = 0; i < 1000; ++i) {
            sent += shedding.admits(endpoint, 2, startTime) ? 1 : 0;
        }
        LONGS_EQUAL(10, sent);
        CHECK(shedding.admits(endpoint, 3, startTime));
    });
    section("other endpoints are not affected", [&] {
        LONGS_EQUAL(0, shedding.level({core::HostId("h2"), endpoint.service}, startTime));
    });
    section("the level decays step by step with its age", [&] {
        LONGS_EQUAL(3, shedding.level(endpoint, startTime + 1s));
        LONGS_EQUAL(2, shedding.level(endpoint, startTime + 1200ms));
        LONGS_EQUAL(0, shedding.level(endpoint, startTime + 1600ms));
    });
}
