#include "admission/harness.h"
#include "support/section.h"

#include <chrono>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::callNamed;
using test::Harness;
using test::section;
using Names = std::vector<std::string>;

namespace {

void checkRefused(const std::shared_ptr<test::SentCall> &sent, core::RefusalReason reason, core::Outcome outcome)
{
    CHECK(sent->response.has_value());
    CHECK((*sent->response)->refusal.has_value());
    CHECK((*sent->response)->refusal->reason() == reason);
    CHECK((*sent->response)->refusal->outcome() == outcome);
}

}

TEST_GROUP(ACallThroughTheService){};

// Guards against a lost request and a slot that is never released, either of which would stall the endpoint.
TEST(ACallThroughTheService, runsWaitsAndTellsTheTimes)
{
    Harness harness;
    harness.service().setSlots(1);
    const auto first = harness.send(callNamed("first"));
    const auto second = harness.send(callNamed("second"));
    section("the second waits for the only slot", [&] {
        CHECK(harness.running() == Names{"first"});
        LONGS_EQUAL(1, harness.service().state()->queued);
    });
    harness.advance(30ms);
    harness.finish("first");
    section("the first is answered and the second starts", [&] {
        LONGS_EQUAL(200, (*first->response)->status);
        CHECK((*first->response)->serviceTime == 30ms);
        CHECK(harness.running() == Names{"second"});
    });
    harness.advance(10ms);
    harness.finish("second");
    section("the second reports its queue time", [&] {
        CHECK((*second->response)->queueTime == 30ms);
        CHECK((*second->response)->serviceTime == 10ms);
        LONGS_EQUAL(0, harness.service().state()->running);
        LONGS_EQUAL(2, harness.service().state()->counters.answered);
    });
}

// G8: guards against a cancelled request that is reported as not-run but runs, or that keeps a slot.
TEST(ACallThroughTheService, neverStartsWhatWasCancelledWhileItWaited)
{
    Harness harness;
    harness.service().setSlots(1);
    const auto first = harness.send(callNamed("first"));
    const auto second = harness.send(callNamed("second"));
    const auto third = harness.send(callNamed("third"));
    section("cancelled while it waits", [&] {
        harness.cancel(second);
        checkRefused(second, core::RefusalReason::Cancelled, core::Outcome::NotRun);
        harness.finish("first");
        CHECK(harness.running() == Names{"third"});
    });
    section("cancelled while it runs", [&] {
        harness.cancel(third);
        CHECK(harness.running().empty());
        checkRefused(third, core::RefusalReason::Cancelled, core::Outcome::Unknown);
        LONGS_EQUAL(0, harness.service().state()->running);
    });
    section("cancelled between its start and its first step", [&] {
        const auto running = harness.send(callNamed("running"));
        const auto granted = harness.send(callNamed("granted"));
        // The slot is granted in the same iteration of the event loop in which the cancellation arrives.
        boost::asio::post(harness.io(), [&] {
            harness.service().setSlots(2);
            granted->cancellation.emit(boost::asio::cancellation_type::terminal);
        });
        harness.poll();
        checkRefused(granted, core::RefusalReason::Cancelled, core::Outcome::NotRun);
        CHECK(harness.running() == Names{"running"});
        LONGS_EQUAL(1, harness.service().state()->running);
    });
}

// G5: guards against forwarding a waiting request whose key was withdrawn in the meantime.
TEST(ACallThroughTheService, refusesWaitingWorkOfAWithdrawnKey)
{
    Harness harness;
    harness.service().setSlots(1);
    const auto key = core::sha256("key");
    const auto request = callNamed("second").with(&wire::CallRequestFields::keyDigest, std::optional(key));
    harness.send(callNamed("first"));
    const auto second = harness.send(request);
    const auto third = harness.send(callNamed("third"));
    harness.withdrawnKeys.insert(key);
    harness.finish("first");
    checkRefused(second, core::RefusalReason::KeyInvalid, core::Outcome::NotRun);
    CHECK(harness.running() == Names{"third"});
    checkRefused(harness.send(request), core::RefusalReason::KeyInvalid, core::Outcome::NotRun);
}

// G10, G11: guards against a planned stop that cuts accepted requests or accepts new ones.
TEST(ACallThroughTheService, drainsAndBecomesIdle)
{
    Harness harness;
    checkRefused(harness.send(callNamed("early")), core::RefusalReason::NoEndpoint, core::Outcome::NotRun);
    harness.service().setSlots(1);
    const auto first = harness.send(callNamed("first"));
    const auto second = harness.send(callNamed("second"));
    harness.service().startDrain();
    bool isIdle = false;
    boost::asio::co_spawn(harness.io(), harness.service().idle(), [&](const std::exception_ptr &) { isIdle = true; });
    checkRefused(harness.send(callNamed("late")), core::RefusalReason::Draining, core::Outcome::NotRun);
    harness.finish("first");
    CHECK_FALSE(isIdle);
    harness.finish("second");
    CHECK(first->response && second->response);
    LONGS_EQUAL(200, (*second->response)->status);
    CHECK(isIdle);
}

// Guards against requests that wait until their deadlines for a leaving endpoint, and reach it when it is about to
// exit.
TEST(ACallThroughTheService, startsNothingLateInADrain)
{
    admission::AdmissionSettings settings = test::settingsWithoutRealTimers();
    // Returns a nested call that waits for the only slot.
    const auto startDrainWithNestedCall = [](Harness &harness) {
        harness.service().setSlots(1);
        harness.send(callNamed("first"));
        auto nested = harness.send(callNamed("second").with(&wire::CallRequestFields::isNested, true));
        harness.service().startDrain();
        return nested;
    };
    section("what still waits is refused when its time is over", [&] {
        settings.drainStartWindow = std::chrono::milliseconds(5);
        Harness harness(settings);
        const auto nested = startDrainWithNestedCall(harness);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        harness.poll();
        checkRefused(nested, core::RefusalReason::Draining, core::Outcome::NotRun);
    });
    section("a slot that becomes free later starts nothing, however often the endpoint tells that it drains", [&] {
        settings.drainStartWindow = std::chrono::minutes(30);
        Harness harness(settings);
        const auto nested = startDrainWithNestedCall(harness);
        harness.advance(std::chrono::minutes(20));
        harness.service().startDrain();
        harness.advance(std::chrono::minutes(10));
        harness.finish("first");
        checkRefused(nested, core::RefusalReason::Draining, core::Outcome::NotRun);
        CHECK(harness.running().empty());
    });
}

// Guards against requests that wait until their deadlines for an endpoint that has left.
TEST(ACallThroughTheService, refusesWhatWaitsWhenTheEndpointIsGone)
{
    Harness harness;
    harness.service().setSlots(1);
    harness.send(callNamed("first"));
    const auto second = harness.send(callNamed("second"));
    harness.service().setSlots(0);
    harness.poll();
    checkRefused(second, core::RefusalReason::NoEndpoint, core::Outcome::NotRun);
}

// Guards against requests that wait for one endpoint and start on its successor, beyond the limit there.
TEST(ACallThroughTheService, refusesWhatWaitsWhenAnotherEndpointStarts)
{
    Harness harness;
    harness.service().setSlots(1);
    const auto first = harness.send(callNamed("first"));
    const auto second = harness.send(callNamed("second"));
    section("what waits is refused as not run", [&] {
        harness.service().retire();
        harness.poll();
        checkRefused(second, core::RefusalReason::Draining, core::Outcome::NotRun);
    });
    section("what runs ends as usual, and starts nothing", [&] {
        const auto third = harness.send(callNamed("third"));
        harness.finish("first");
        LONGS_EQUAL(200, (*first->response)->status);
        checkRefused(third, core::RefusalReason::Draining, core::Outcome::NotRun);
        CHECK(harness.running().empty());
    });
}

// G8: guards against not-run for a request of which the endpoint may have received a byte.
TEST(ACallThroughTheService, tellsNotRunOnlyWhenNothingWasSent)
{
    Harness harness;
    harness.service().setSlots(2);
    section("a connection that fails before the first byte is sent", [&] {
        const auto sent = harness.send(callNamed("a"));
        harness.finish("a", Harness::lost(false));
        checkRefused(sent, core::RefusalReason::ConnectionLost, core::Outcome::NotRun);
    });
    section("a connection that is lost after bytes may have been sent", [&] {
        const auto sent = harness.send(callNamed("b"));
        harness.finish("b", Harness::lost(true));
        checkRefused(sent, core::RefusalReason::ConnectionLost, core::Outcome::Unknown);
    });
    section("a refusal by the hook that claims not-run although bytes may have been sent", [&] {
        const auto sent = harness.send(callNamed("c"));
        auto result = Harness::answered();
        result.response = result.response.with(
            &wire::CallResponseFields::refusal,
            std::optional(core::Refusal(core::RefusalReason::DeadlineExceeded, core::Outcome::NotRun)));
        harness.finish("c", result);
        checkRefused(sent, core::RefusalReason::DeadlineExceeded, core::Outcome::Unknown);
    });
}

// Guards against a limit that stays active with the controls off and would distort the benchmark's baseline.
TEST(ACallThroughTheService, passesEverythingOnWithTheControlsOff)
{
    auto settings = test::settingsWithoutRealTimers();
    settings.areControlsOn = false;
    Harness harness(settings);
    harness.service().setSlots(1);
    for (const char *name : {"a", "b", "c"}) {
        harness.send(callNamed(name));
    }
    CHECK((harness.running() == Names{"a", "b", "c"}));
}

// Guards against entries that send more work to an endpoint with a queue, and against requests that count after their
// end.
TEST(ACallThroughTheService, tellsTheWorkThatIsLeft)
{
    Harness harness;
    harness.service().setSlots(1);
    const auto learned = harness.send(callNamed("learned"));
    harness.advance(40ms);
    harness.finish("learned");
    DOUBLES_EQUAL(0, (*learned->response)->outstandingWork, 1e-9);
    const auto first = harness.send(callNamed("first"));
    const auto second = harness.send(callNamed("second"));
    const auto third = harness.send(callNamed("third"));
    section("a cancelled request tells that of the other two", [&] {
        harness.cancel(third);
        CHECK((*third->response)->outstandingWork > 0.04);
    });
    const double two = (*third->response)->outstandingWork;
    section("the first tells that of the second", [&] {
        harness.finish("first");
        DOUBLES_EQUAL(two / 2, (*first->response)->outstandingWork, 1e-9);
    });
    section("the last tells that nothing is left", [&] {
        harness.finish("second");
        DOUBLES_EQUAL(0, (*second->response)->outstandingWork, 0);
    });
}

// Guards against the time of a root that is lost on its way to the queue, and against displaced calls that are not
// counted.
TEST(ACallThroughTheService, givesItsPlaceToACallOfAnOlderRoot)
{
    auto settings = test::settingsWithoutRealTimers();
    settings.maxQueueLength = 1;
    Harness harness(settings);
    harness.service().setSlots(1);
    const auto send = [&](const std::string &name, core::Duration rootRemaining) {
        return harness.send(callNamed(name)
                                .with(&wire::CallRequestFields::isNested, true)
                                .with(&wire::CallRequestFields::rootRemaining, rootRemaining));
    };
    send("running", 2h);
    constexpr int NestedPlaces = 5; // Of EndpointGate, for each place of a new request.
    std::shared_ptr<test::SentCall> last;
    for (int i = 0; i < NestedPlaces; ++i) {
        last = send("waiting", 2h + i * 1min);
    }
    CHECK_FALSE(last->response.has_value());
    section("the call of the youngest root is refused when it arrives at the full queue", [&] {
        checkRefused(send("youngest", 3h), core::RefusalReason::Overloaded, core::Outcome::NotRun);
        LONGS_EQUAL(0, harness.service().state()->counters.displaced);
    });
    const auto oldest = send("oldest", 1h);
    section("the youngest one that waits gives its place to an older root", [&] {
        CHECK_FALSE(oldest->response.has_value());
        checkRefused(last, core::RefusalReason::Overloaded, core::Outcome::NotRun);
        LONGS_EQUAL(1, harness.service().state()->counters.displaced);
    });
    section("the oldest root goes first", [&] {
        harness.finish("running");
        CHECK(harness.running() == Names{"oldest"});
    });
}
