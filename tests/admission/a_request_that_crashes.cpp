#include "admission/harness.h"
#include "berylspring/admission/quarantine.h"
#include "berylspring/core/request_digest.h"
#include "support/section.h"

#include <chrono>
#include <string>
#include <tuple>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::callNamed;
using test::checkProperty;
using test::Harness;
using test::section;
using Names = std::vector<std::string>;

namespace {

bool isRefusedFor(const std::shared_ptr<test::SentCall> &sent, core::RefusalReason reason)
{
    return sent->response && (*sent->response)->refusal && (*sent->response)->refusal->reason() == reason;
}

core::Digest digestOf(const wire::CallRequest &request)
{
    return core::requestDigest(request->method, request->target, request->body, request->workspace);
}

}

TEST_GROUP(ARequestThatCrashes){};

// Guards against one request that takes down a whole service by crashing each endpoint that runs it.
TEST(ARequestThatCrashes, isStoppedAfterTwoCrashesWhileInnocentOnesGoOn)
{
    Harness harness;
    harness.service().setSlots(3);
    const auto crasher = callNamed("crasher");
    section("the first crash also fails another request", [&] {
        harness.send(crasher);
        harness.send(callNamed("innocent"));
        harness.finish("crasher", Harness::lost());
        harness.finish("innocent", Harness::lost());
    });
    section("both run alone when they are sent again", [&] {
        harness.send(callNamed("innocent"));
        harness.send(callNamed("other"));
        CHECK(harness.running() == Names{"innocent"});
        harness.finish("innocent");
        CHECK(harness.running() == Names{"other"});
        harness.send(crasher);
        CHECK(harness.running() == Names{"other"});
        harness.finish("other");
        CHECK(harness.running() == Names{"crasher"});
    });
    section("the second crash quarantines the cause and notifies the peers", [&] {
        harness.finish("crasher", Harness::lost());
        LONGS_EQUAL(1, harness.notices.size());
        CHECK(harness.notices.front()->requestDigest == digestOf(crasher));
        CHECK(harness.notices.front()->remaining == 10min);
        const auto again = harness.send(crasher);
        CHECK(isRefusedFor(again, core::RefusalReason::Quarantined));
        CHECK((*again->response)->refusal->outcome() == core::Outcome::NotRun);
    });
    section("the other one is cleared and runs concurrently again", [&] {
        harness.send(callNamed("innocent"));
        harness.send(callNamed("other"));
        CHECK((harness.running() == Names{"innocent", "other"}));
    });
    section("the quarantine ends", [&] {
        harness.advance(10min);
        harness.send(crasher);
        CHECK((harness.running() == Names{"innocent", "other", "crasher"}));
    });
}

// Guards against a node that ignores quarantines and suspects of its peers and crashes on the same request.
TEST(ARequestThatCrashes, isKnownFromPeers)
{
    Harness harness;
    harness.service().setSlots(2);
    harness.quarantine().quarantine(digestOf(callNamed("quarantined")), 1min, harness.now());
    CHECK(isRefusedFor(harness.send(callNamed("quarantined")), core::RefusalReason::Quarantined));
    harness.quarantine().suspect(digestOf(callNamed("suspect")), harness.now());
    harness.send(callNamed("suspect"));
    harness.send(callNamed("other"));
    CHECK(harness.running() == Names{"suspect"});
    harness.finish("suspect", Harness::lost());
    LONGS_EQUAL(1, harness.notices.size());
}

// Guards against a node that forgets suspects and quarantines with the endpoint that they ended.
TEST(ARequestThatCrashes, isKnownToTheNextEndpointOfTheHost)
{
    Harness harness;
    const auto crasher = callNamed("crasher");
    const auto startEndpoint = [&] {
        harness.startEndpoint();
        harness.service().setSlots(2);
    };
    startEndpoint();
    section("it ends the first endpoint", [&] {
        harness.send(crasher);
        harness.finish("crasher", Harness::lost());
    });
    section("it runs alone on the second one, and ends it too", [&] {
        startEndpoint();
        harness.send(crasher);
        harness.send(callNamed("other"));
        CHECK(harness.running() == Names{"crasher"});
        harness.finish("crasher", Harness::lost());
        LONGS_EQUAL(1, harness.notices.size());
        harness.finish("other");
    });
    section("the third one refuses it", [&] {
        startEndpoint();
        CHECK(isRefusedFor(harness.send(crasher), core::RefusalReason::Quarantined));
    });
    section("the counts go on", [&] {
        LONGS_EQUAL(2, harness.service().state()->counters.connectionsLost);
        LONGS_EQUAL(1, harness.service().state()->counters.quarantined);
    });
}

// Guards against a retry that overtakes the notice about it and runs in company on the next endpoint.
TEST(ARequestThatCrashes, isSuspectedWhenItsSenderKnowsOfACrash)
{
    Harness harness;
    harness.service().setSlots(2);
    const auto first = harness.send(callNamed("crasher"));
    section("the response tells the sender that the endpoint crashed", [&] {
        harness.finish("crasher", Harness::lost());
        CHECK_TRUE((*first->response)->hasEndpointCrashed);
    });
    Harness next;
    next.service().setSlots(2);
    section("the retry runs alone at another host that was not told", [&] {
        next.send(callNamed("crasher").with(&wire::CallRequestFields::isSuspect, true));
        next.send(callNamed("other"));
        CHECK(next.running() == Names{"crasher"});
    });
    section("its second crash quarantines it", [&] {
        next.finish("crasher", Harness::lost());
        LONGS_EQUAL(1, next.notices.size());
    });
}

// Guards against suspecting a request that the endpoint has never received.
TEST(ARequestThatCrashes, needsASentByteToBeSuspected)
{
    Harness harness;
    harness.service().setSlots(2);
    harness.send(callNamed("a"));
    harness.finish("a", Harness::lost(false));
    harness.send(callNamed("a"));
    harness.send(callNamed("b"));
    CHECK((harness.running() == Names{"a", "b"}));
}

// Guards against quarantining a request that only ran at the same time as the cause of a crash.
TEST(ARequestThatCrashes, isNeverMistakenForAnInnocentOne)
{
    checkProperty(
        "only the crasher is quarantined, after its first crash alone", [](const std::vector<bool> &together) {
            const core::TimePoint now{1000h};
            admission::Quarantine quarantine(10min, 1min);
            const auto crasher = core::sha256("crasher");
            const auto innocent = core::sha256("innocent");
            int aloneCrashes = 0;
            bool isSuspect = false;
            for (const bool runsInnocent : together) {
                if (quarantine.state(crasher, now) == admission::QuarantineState::Quarantined) {
                    break;
                }
                const bool isInnocentSuspect = quarantine.state(innocent, now) == admission::QuarantineState::Suspect;
                const bool ranAlone = isSuspect || isInnocentSuspect || !runsInnocent;
                quarantine.crashed(crasher, ranAlone, now);
                aloneCrashes += ranAlone && isSuspect ? 1 : 0;
                if (isInnocentSuspect) {
                    quarantine.answered(innocent, now);
                } else if (!ranAlone) {
                    quarantine.crashed(innocent, false, now);
                }
                isSuspect = true;
                RC_ASSERT(quarantine.state(innocent, now) != admission::QuarantineState::Quarantined);
            }
            RC_ASSERT(aloneCrashes <= 1);
            RC_ASSERT((quarantine.state(crasher, now) == admission::QuarantineState::Quarantined)
                      == (together.size() >= 2U));
        });
}

// Guards against a quarantine that applies to a different request because both have the same digest.
TEST(ARequestThatCrashes, hasADigestWithoutAmbiguity)
{
    checkProperty("different parts give different digests", [](const std::string &a, const std::string &b) {
        const core::WorkspaceId workspace("w");
        RC_PRE(!a.empty());
        RC_ASSERT(core::requestDigest(a, b, "", workspace) != core::requestDigest("", a + b, "", workspace));
        RC_ASSERT(core::requestDigest("GET", a + b, "", workspace) != core::requestDigest("GET", b, a, workspace));
    });
}
