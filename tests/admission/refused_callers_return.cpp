#include "admission/deep_service.h"
#include "support/section.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using admission::ReturningRequest;
using admission::ReturnSchedule;
using admission::ReturnTime;
using admission::RootClass;
using test::DeepService;
using test::ReturnRule;
using test::section;

namespace {

const core::ServiceId Visits("visits");
const RootClass Visit{.route = core::RouteId("visit"), .service = Visits, .level = 6, .routeLevel = 5};
const RootClass Report{.route = core::RouteId("report"), .service = Visits, .level = 2, .routeLevel = 5};

/** @return What became of the callers that came back after a burst of 3 s to twice the capacity. */
test::ReturnCounts returnsAfterABurst(ReturnRule rule)
{
    DeepService deep(800);
    deep.letCallersReturn(rule, 9s);
    deep.offer(Visit, 100, 4);
    (void)deep.run(5s);
    deep.offer(Visit, 400, 4);
    (void)deep.run(3s);
    deep.offer(Visit, 100, 4);
    (void)deep.run(10s);
    return deep.returns();
}

/** @brief A schedule of an entry that admits 200 requests per second: 10 promises in each slot. */
struct BusyEntry
{
    ReturnSchedule schedule{core::systemRandom()};
    core::TimePoint now{1h};
    std::uint64_t next = 0;

    BusyEntry()
    {
        for (int i = 0; i < 2000; ++i) {
            now += 5ms;
            schedule.recordAdmitted(Visits, now);
        }
    }
    ReturningRequest request(const std::string &workspace, std::uint32_t rank = 5)
    {
        return {.digest = core::sha256(std::to_string(next++)),
                .service = Visits,
                .workspace = core::WorkspaceId(workspace),
                .rank = rank};
    }
    /** @return Number of promises among `count` refused requests of the workspace. */
    int promisesOf(const std::string &workspace, int count, std::uint32_t rank = 5)
    {
        int promises = 0;
        for (int i = 0; i < count; ++i) {
            promises += schedule.promise(request(workspace, rank), 9s, now).isPromised ? 1 : 0;
        }
        return promises;
    }
};

}

TEST_GROUP(RefusedCallersReturn){};

// Load pattern: a burst to twice the capacity, after which callers come back. Guards against times to return at which
// most callers are refused again.
TEST(RefusedCallersReturn, toFindRoomAfterABurst)
{
    const test::ReturnCounts constant = returnsAfterABurst(ReturnRule::Constant);
    const test::ReturnCounts promised = returnsAfterABurst(ReturnRule::Promised);
    CHECK_TRUE(promised.returned > 0);
    CHECK_TRUE(promised.gaveUp <= constant.gaveUp);
    // The target: at most half of the share of those that come back and are refused again.
    CHECK_TRUE(promised.refusedAgain / promised.returned < 0.5 * constant.refusedAgain / constant.returned);
}

// Load pattern: overload at 200 admitted requests per second. Guards against more promises than there is room for.
TEST(RefusedCallersReturn, asManyAsThereIsRoomFor)
{
    BusyEntry entry;
    DOUBLES_EQUAL(200, entry.schedule.admittedPerSecond(Visits, entry.now), 5);
    const int promises = entry.promisesOf("a", 1000);
    // Half of what is admitted in 3 s, and at most in one slot more.
    CHECK_TRUE(promises > 280 && promises <= 310 + 5);
}

// Load pattern: one workspace sends many times its usual number of requests while others send theirs. Guards against a
// workspace that takes all slots before the others are refused.
TEST(RefusedCallersReturn, inFairOrderAmongWorkspaces)
{
    BusyEntry entry;
    entry.schedule.recordArrival(Visits, core::WorkspaceId("quiet"), entry.now);
    const int ofGreedy = entry.promisesOf("greedy", 1000);
    const int ofQuiet = entry.promisesOf("quiet", 50);
    CHECK_TRUE(ofGreedy <= 160);
    LONGS_EQUAL(50, ofQuiet);
}

// Load pattern: callers of one overloaded entry that keep the told time, come early, or come late. Guards against
// promises that reward an early return, and against promises that are used twice.
TEST(RefusedCallersReturn, atTheToldTimeAndOnce)
{
    BusyEntry entry;
    const ReturningRequest visit = entry.request("a");
    const ReturnTime told = entry.schedule.promise(visit, 9s, entry.now);
    const core::TimePoint at = entry.now + told.wait;
    section("an early caller is a newcomer", [&] { CHECK_FALSE(entry.schedule.takePromise(visit, at - 101ms)); });
    section("its promise holds at the told time", [&] { CHECK_TRUE(entry.schedule.takePromise(visit, at + 450ms)); });
    section("it is used once", [&] { CHECK_FALSE(entry.schedule.takePromise(visit, at + 451ms)); });
    section("a promise that is not used expires", [&] {
        const ReturningRequest late = entry.request("a");
        const core::TimePoint due = entry.now + entry.schedule.promise(late, 9s, entry.now).wait;
        CHECK_FALSE(entry.schedule.takePromise(late, due + 501ms));
        CHECK_FALSE(entry.schedule.hasPromises(Visits, due + 1s));
        LONGS_EQUAL(1, entry.schedule.totals().late);
    });
}

// Load pattern: a node restarts between a refusal and the return of its caller. Guards against a new process that
// recognises nobody's promise but refuses to make new ones, or promises room before it has admitted anything.
TEST(RefusedCallersReturn, asNewcomersAfterARestart)
{
    BusyEntry before;
    const ReturningRequest visit = before.request("a");
    const core::TimePoint at = before.now + before.schedule.promise(visit, 9s, before.now).wait;
    ReturnSchedule restarted{core::systemRandom()};
    CHECK_FALSE(restarted.takePromise(visit, at));
    CHECK_FALSE(restarted.promise(visit, 9s, at).isPromised);
    for (int i = 0; i < 20; ++i) {
        restarted.recordAdmitted(Visits, at + i * 10ms);
    }
    CHECK_TRUE(restarted.promise(visit, 9s, at + 200ms).isPromised);
}

// Load pattern: callers with little time left during an overload. Guards against times to return that callers do not
// honour, and against callers that come back at once to be refused again.
TEST(RefusedCallersReturn, withinAThirdOfTheirTime)
{
    BusyEntry entry;
    section("the promised time is within it", [&] {
        const ReturnTime told = entry.schedule.promise(entry.request("a"), 1800ms, entry.now);
        CHECK_TRUE(told.isPromised && told.wait <= 600ms);
    });
    section("without a slot in it, the longest useful time is told", [&] {
        (void)entry.promisesOf("a", 1000);
        const ReturnTime told = entry.schedule.promise(entry.request("a"), 1800ms, entry.now);
        CHECK_TRUE(!told.isPromised && told.wait >= 400ms && told.wait <= 600ms);
    });
    section("a caller without time for a return is not called back in it", [&] {
        const ReturnTime told = entry.schedule.promise(entry.request("a"), 90ms, entry.now);
        CHECK_TRUE(!told.isPromised && told.wait >= 90ms);
    });
}

// Load pattern: a less important class with promises while a more important one is shed too. Guards against promises
// that admit the less important class ahead of the more important one, and against slots that it has filled.
TEST(RefusedCallersReturn, neverAheadOfMoreImportantOnes)
{
    section("a more important request replaces a promise in a full slot", [&] {
        BusyEntry entry;
        (void)entry.promisesOf("a", 1000, 2);
        const int before = static_cast<int>(entry.schedule.totals().promised);
        CHECK_TRUE(entry.schedule.promise(entry.request("b", 6), 9s, entry.now).isPromised);
        CHECK_FALSE(entry.schedule.promise(entry.request("a", 2), 9s, entry.now).isPromised);
        LONGS_EQUAL(before + 1, entry.schedule.totals().promised);
    });
    section("a promise does not admit while more important requests are shed", [&] {
        admission::RootAdmission admission(core::systemRandom());
        core::TimePoint now{1h};
        int admitted = 0;
        for (int i = 0; i < 2000; ++i) {
            now += 5ms;
            for (const RootClass &root : {Visit, Report}) {
                const bool isSent = admission.admits(root, now, root == Report);
                admitted += i >= 1000 && isSent && root == Report ? 1 : 0;
                admission.recordResult(root, {.pressure = 4, .latency = 200ms, .isFailed = true}, now);
            }
        }
        CHECK_TRUE(admission.shedsMoreImportant(Report, now));
        CHECK_FALSE(admission.shedsMoreImportant(Visit, now));
        // Probes, 2 % of the requests, are sent whatever their rank.
        CHECK_TRUE(admitted < 60);
    });
    section("it does once only its own rank is shed", [&] {
        admission::RootAdmission admission(core::systemRandom());
        core::TimePoint now{1h};
        int newcomers = 0;
        for (int i = 0; i < 1000; ++i) {
            now += 5ms;
            newcomers += admission.admits(Visit, now) ? 1 : 0;
            admission.recordResult(Visit, {.pressure = 4, .latency = 200ms, .isFailed = true}, now);
            CHECK_TRUE(admission.admits(Visit, now, true));
        }
        CHECK_TRUE(newcomers < 500);
    });
}
