#include "berylspring/admission/admission_queue.h"
#include "support/section.h"

#include <chrono>
#include <map>
#include <optional>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using admission::AdmissionQueue;
using admission::QueueEntry;
using test::section;

namespace {

const core::TimePoint startTime{1000h};

constexpr std::size_t QueueLength = 20;
constexpr int CallsOfARoot = 8;
constexpr core::Duration RootTimeout = 5s;
constexpr core::Duration CallTimeout = 700ms;
constexpr core::Duration CallTime = 10ms;
/** Mean time that the caller works between two calls, in which others take the place in the queue. */
constexpr core::Duration MeanPause = 50ms;

QueueEntry call(std::uint64_t id, core::TimePoint now, std::optional<core::TimePoint> rootDeadline)
{
    return QueueEntry(
        {.id = id, .isNested = true, .arrivedAt = now, .deadline = now + CallTimeout, .rootDeadline = rootDeadline});
}

struct Totals
{
    int begun = 0;
    int ended = 0;
    int refusedCalls = 0;
};

/** @brief Roots that make their calls in series at an endpoint that runs one call at a time. */
class ChainModel
{
public:
    explicit ChainModel(bool isOrderedByRoot)
        : m_isOrderedByRoot(isOrderedByRoot)
    {
    }

    /** @param rootInterval Time between two new roots. */
    Totals run(core::Duration duration, core::Duration rootInterval)
    {
        core::TimePoint nextRoot = startTime;
        std::optional<std::uint64_t> running;
        for (core::TimePoint now = startTime; now < startTime + duration; now += CallTime) {
            if (running) {
                endCall(*running, now);
            }
            for (; nextRoot <= now; nextRoot += randomTime(rootInterval)) {
                ++m_totals.begun;
                m_roots.emplace(++m_lastRoot, Root{.deadline = nextRoot + RootTimeout});
                m_due.emplace(nextRoot, m_lastRoot);
            }
            for (; !m_due.empty() && m_due.begin()->first <= now; m_due.erase(m_due.begin())) {
                offer(m_due.begin()->second, now);
            }
            const auto taken = m_queue.take(now, CallTime);
            for (const std::uint64_t id : taken.tooLate) {
                refuse(id);
            }
            running = taken.next ? std::optional((*taken.next)->id) : std::nullopt;
        }
        return m_totals;
    }

private:
    struct Root
    {
        core::TimePoint deadline;
        int endedCalls = 0;
    };

    /** @return A time with an exponential distribution. */
    core::Duration randomTime(core::Duration mean)
    {
        std::exponential_distribution<double> distribution(1.0 / static_cast<double>(mean.count()));
        return core::Duration(static_cast<core::Duration::rep>(distribution(m_random)));
    }

    void offer(std::uint64_t root, core::TimePoint now)
    {
        const auto rootDeadline = m_isOrderedByRoot ? std::optional(m_roots.at(root).deadline) : std::nullopt;
        // A root has one call at a time, so that its number identifies the call.
        const auto result = m_queue.offer(call(root, now, rootDeadline), QueueLength);
        if (!result.isAccepted) {
            refuse(root);
        } else if (result.displaced) {
            refuse(*result.displaced);
        }
    }

    void endCall(std::uint64_t root, core::TimePoint now)
    {
        Root &state = m_roots.at(root);
        if (++state.endedCalls < CallsOfARoot) {
            m_due.emplace(now + randomTime(MeanPause), root);
            return;
        }
        m_totals.ended += now <= state.deadline ? 1 : 0;
        m_roots.erase(root);
    }

    /** An endpoint whose call is refused fails its own request. */
    void refuse(std::uint64_t root)
    {
        ++m_totals.refusedCalls;
        m_roots.erase(root);
    }

    bool m_isOrderedByRoot;
    std::minstd_rand m_random{1};
    AdmissionQueue m_queue;
    std::map<std::uint64_t, Root> m_roots;
    std::multimap<core::TimePoint, std::uint64_t> m_due; ///< Roots by the time of their next call.
    std::uint64_t m_lastRoot = 0;
    Totals m_totals;
};

}

TEST_GROUP(ChainsOfCallsUnderOverload){};

// Guards against an overload in which each chain loses one of its calls, so that almost no root request ends.
TEST(ChainsOfCallsUnderOverload, endInProportionToTheCapacity)
{
    constexpr core::Duration Duration = 60s;
    constexpr core::Duration RootInterval = 40ms; // 200 calls per second, of which the endpoint runs 100.
    constexpr int Capacity = static_cast<int>(Duration / CallTime) / CallsOfARoot;
    section("without the time of the root, refusals hit calls of all roots, and the work of many is lost", [&] {
        const Totals totals = ChainModel(false).run(Duration, RootInterval);
        CHECK(totals.refusedCalls > 0);
        CHECK(totals.ended < 0.6 * Capacity);
    });
    section("by the deadline of the root, the capacity goes to roots that end", [&] {
        const Totals totals = ChainModel(true).run(Duration, RootInterval);
        CHECK(totals.refusedCalls > 0);
        CHECK(totals.ended >= 0.9 * Capacity);
    });
}

// Guards against calls of unknown roots, of an older node for example, that are ordered among themselves by anything
// but their own deadlines, or that keep their places against the call of a root that ends earlier.
TEST(ChainsOfCallsUnderOverload, keepTheirOrderIfTheRootIsNotKnown)
{
    AdmissionQueue queue;
    CHECK(queue.offer(call(1, startTime, std::nullopt), 2).isAccepted);
    CHECK(queue.offer(call(2, startTime + 1ms, std::nullopt), 2).isAccepted);
    section("a call without a root deadline displaces none",
            [&] { CHECK_FALSE(queue.offer(call(3, startTime, std::nullopt), 2).isAccepted); });
    section("the deadline of its own route orders a call", [&] {
        LONGS_EQUAL(1, (*queue.take(startTime, 0ns).next)->id);
        LONGS_EQUAL(2, (*queue.take(startTime, 0ns).next)->id);
    });
    section("a call with a root deadline displaces an unknown one only if that has the later deadline", [&] {
        CHECK(queue.offer(call(4, startTime, std::nullopt), 1).isAccepted);
        CHECK_FALSE(queue.offer(call(5, startTime, startTime + CallTimeout + 1ms), 1).isAccepted);
        CHECK(queue.offer(call(6, startTime, startTime + CallTimeout - 1ms), 1).displaced == 4U);
    });
}

// Guards against an eviction of the chain that has used most work.
TEST(ChainsOfCallsUnderOverload, areRefusedYoungestFirst)
{
    AdmissionQueue queue;
    queue.offer(call(1, startTime, startTime + 4s), 2);
    queue.offer(call(2, startTime, startTime + 5s), 2);
    section("an older root takes the place of the youngest", [&] {
        const auto result = queue.offer(call(3, startTime, startTime + 1s), 2);
        CHECK(result.isAccepted);
        CHECK(result.displaced == 2U);
    });
    section("the youngest is refused itself",
            [&] { CHECK_FALSE(queue.offer(call(4, startTime, startTime + 6s), 2).isAccepted); });
    section("the oldest starts first", [&] {
        LONGS_EQUAL(3, (*queue.take(startTime, 0ns).next)->id);
        LONGS_EQUAL(1, (*queue.take(startTime, 0ns).next)->id);
    });
}
