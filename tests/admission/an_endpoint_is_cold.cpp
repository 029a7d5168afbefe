#include "admission/harness.h"
#include "berylspring/admission/endpoint_gate.h"
#include "support/section.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using admission::AdmissionDecision;
using admission::ColdLimit;
using admission::ColdReason;
using admission::ColdRule;
using admission::ColdState;
using test::callNamed;
using test::Harness;
using test::section;
using Names = std::vector<std::string>;

namespace {

constexpr core::Duration HeartbeatTimeout = 2500ms;
constexpr ColdRule Rule{.rate = 16, .burst = 8, .coldTime = 3s};
/** Rate x 1.5 + 8 requests in any second, of which the burst uses half of what is beyond the rate. */
constexpr std::size_t MostInASecond = 16 + 8;

ColdLimit coldFor(core::Duration coldFor, core::TimePoint now)
{
    return {Rule, ColdState(HeartbeatTimeout).withHeartbeat(coldFor, now)};
}

/** @brief Requests to one gate at a constant rate for some time, with the starts that it allowed. */
class Load
{
public:
    explicit Load(admission::AdmissionSettings settings = {})
        : m_settings(settings)
        , m_gate(settings, m_now)
    {
        setSlots();
    }

    /** @brief Replaces the gate, as a node does when an endpoint or the node itself starts. */
    void restart(const ColdLimit &cold)
    {
        m_waiting.clear();
        std::destroy_at(&m_gate);
        std::construct_at(&m_gate, m_settings, m_now);
        setCold(cold);
        setSlots();
    }
    void setCold(const ColdLimit &cold)
    {
        onDecided(m_gate.setCold(cold, m_now));
    }
    /** @brief Sends requests at random times, every one with 1 s left and ended after 5 ms. */
    void run(double perSecond, core::Duration length)
    {
        const core::TimePoint end = m_now + length;
        std::exponential_distribution<double> gap(perSecond);
        core::TimePoint arrival = m_now;
        while (true) {
            arrival += std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(gap(m_random)));
            advanceTo(std::min(arrival, end));
            if (arrival >= end) {
                return;
            }
            arrive();
        }
    }
    [[nodiscard]] core::TimePoint now() const
    {
        return m_now;
    }
    /** @return Highest number of starts from `since` in any window of one second that slides by a start. */
    [[nodiscard]] std::size_t mostInASecond(core::TimePoint since) const
    {
        std::size_t most = 0;
        for (auto first = std::lower_bound(starts.begin(), starts.end(), since); first != starts.end(); ++first) {
            const auto last = std::upper_bound(first, starts.end(), *first + 1s);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }
    [[nodiscard]] std::size_t startsSince(core::TimePoint since) const
    {
        return static_cast<std::size_t>(starts.end() - std::lower_bound(starts.begin(), starts.end(), since));
    }

    std::vector<core::TimePoint> starts;
    std::size_t refused = 0;
    core::Duration longestWait{};

private:
    struct Waiting
    {
        core::TimePoint since;
        core::TimePoint leaveAt;
    };

    void setSlots()
    {
        onDecided(m_gate.setSlots(1000, m_now));
    }
    void arrive()
    {
        const admission::QueueEntry entry(
            {.id = ++m_lastId, .workspace = core::WorkspaceId("garden"), .arrivedAt = m_now, .deadline = m_now + 1s});
        const auto result = m_gate.arrive(entry, false, m_now);
        if (result.decision.kind == AdmissionDecision::Kind::Wait) {
            m_waiting[m_lastId] = {m_now, m_now + result.decision.maxWait};
        } else {
            decided(result.decision, m_now);
        }
        onDecided(result.decided);
    }
    void decided(const AdmissionDecision &decision, core::TimePoint since)
    {
        if (!decision.isStart()) {
            ++refused;
            return;
        }
        starts.push_back(m_now);
        longestWait = std::max(longestWait, m_now - since);
        m_ends.push_back(m_now + 5ms);
    }
    void onDecided(const std::vector<std::uint64_t> &ids)
    {
        for (const std::uint64_t id : ids) {
            leave(id);
        }
    }
    void leave(std::uint64_t id)
    {
        const core::TimePoint since = m_waiting.at(id).since;
        m_waiting.erase(id);
        const auto result = m_gate.leave(id, m_now);
        decided(result.decision, since);
        onDecided(result.decided);
    }
    void advanceTo(core::TimePoint end)
    {
        while (true) {
            core::TimePoint next = end;
            std::uint64_t leaving = 0;
            for (const auto &[id, waiting] : m_waiting) {
                if (waiting.leaveAt < next) {
                    next = waiting.leaveAt;
                    leaving = id;
                }
            }
            if (!m_ends.empty() && m_ends.front() <= next) {
                m_now = std::max(m_now, m_ends.front());
                m_ends.pop_front();
                onDecided(m_gate.finish({}, m_now));
                continue;
            }
            if (const auto due = m_gate.nextStartAt(m_now); due && *due <= next) {
                m_now = *due;
                onDecided(m_gate.tick(m_now));
                continue;
            }
            m_now = next;
            if (leaving == 0) {
                return;
            }
            leave(leaving);
        }
    }

    admission::AdmissionSettings m_settings;
    core::TimePoint m_now{1000h};
    admission::EndpointGate m_gate;
    std::map<std::uint64_t, Waiting> m_waiting;
    std::deque<core::TimePoint> m_ends;
    std::mt19937_64 m_random{1};
    std::uint64_t m_lastId = 0;
};

}

TEST_GROUP(AnEndpointIsCold){};

// Guards against an endpoint that counts as warm although it may just have restarted.
TEST(AnEndpointIsCold, forSeveralReasons)
{
    const core::TimePoint now(1000h);
    const ColdState unknown(HeartbeatTimeout);
    const ColdState warm = unknown.withHeartbeat(0ms, now);
    CHECK(unknown.reason(now) == ColdReason::HeartbeatOverdue);
    CHECK(warm.reason(now) == std::nullopt);
    section("its heartbeat says so", [&] {
        const ColdState cold = warm.withHeartbeat(300ms, now);
        CHECK(cold.reason(now) == ColdReason::Reported);
        CHECK(cold.warmAt(now) == now + 300ms);
        CHECK(cold.reason(now + 300ms) == std::nullopt);
        section("and the next one says that it is warm",
                [&] { CHECK(cold.withHeartbeat(0ms, now + 1ms).reason(now + 1ms) == std::nullopt); });
    });
    section("a connection failed, until the next heartbeat", [&] {
        const ColdState failed = warm.withConnectionFailure();
        CHECK(failed.reason(now + 1h) == ColdReason::ConnectionFailed);
        CHECK(failed.warmAt(now) == std::nullopt);
        CHECK(failed.withHeartbeat(0ms, now).reason(now) == std::nullopt);
    });
    section("its heartbeats have stopped", [&] {
        CHECK(warm.reason(now + HeartbeatTimeout) == std::nullopt);
        CHECK(warm.reason(now + HeartbeatTimeout + 1ns) == ColdReason::HeartbeatOverdue);
    });
    section("its data centre was taken back, whatever its heartbeat says", [&] {
        const ColdState back = warm.withReturn(2s, now).withHeartbeat(0ms, now + 1s);
        CHECK(back.reason(now + 1999ms) == ColdReason::TakenBack);
        CHECK(back.reason(now + 2s) == std::nullopt);
    });
}

// Guards against a return of the full load to endpoints that are all cold, as after a power cut: 100 times the rate.
TEST(AnEndpointIsCold, andGetsNoMoreThanItTolerates)
{
    for (const bool areControlsOn : {true, false}) {
        Load load({.areControlsOn = areControlsOn});
        const core::TimePoint begin = load.now();
        load.restart(coldFor(2s, begin));
        load.run(1600, 2s);
        section("in any second", [&] {
            CHECK(load.mostInASecond(begin) <= MostInASecond);
            CHECK(load.longestWait <= 100ms);
        });
        section("and no less, so that no capacity is wasted", [&] { CHECK(load.starts.size() >= 31); });
        section("and everything as soon as it is warm", [&] {
            const core::TimePoint warm = load.now();
            load.run(1600, 400ms);
            CHECK(load.startsSince(warm) >= 500);
        });
    }
}

// Guards against a burst that is repeated: a quiet endpoint at half its rate, then the full load of its warm
// neighbours.
TEST(AnEndpointIsCold, whileTheLoadChanges)
{
    Load load;
    const core::TimePoint begin = load.now();
    load.restart(coldFor(20s, begin));
    for (int i = 0; i < 4; ++i) {
        load.setCold(coldFor(20s, load.now()));
        load.run(8, 2s);
        load.setCold(coldFor(20s, load.now()));
        load.run(400, 2s);
    }
    CHECK(load.mostInASecond(begin) <= MostInASecond);
    CHECK(load.starts.size() >= std::size_t{4} * (12 + 30));
}

// Guards against an endpoint that becomes cold under a load of 50 times its rate and is sent what waits for it.
TEST(AnEndpointIsCold, againWhileItIsLoaded)
{
    Load load;
    load.setCold(coldFor(0ms, load.now()));
    load.run(800, 1s);
    const core::TimePoint begin = load.now();
    section("by a crash, until the heartbeat that follows", [&] {
        load.setCold({Rule, ColdState(HeartbeatTimeout).withHeartbeat(0ms, begin).withConnectionFailure()});
        load.run(800, 1s);
        CHECK(load.mostInASecond(begin) <= MostInASecond - 8);
    });
    section("the endpoint that follows it has no tokens either", [&] {
        load.restart(coldFor(3s, load.now()));
        load.run(800, 2s);
        CHECK(load.mostInASecond(begin) <= MostInASecond);
    });
    section("and an older state than this does not end it", [&] {
        load.setCold({Rule, ColdState(HeartbeatTimeout)});
        load.run(800, 500ms);
        CHECK(load.mostInASecond(begin) <= MostInASecond);
    });
}

// Guards against a report that is stuck at cold and stops the endpoint, and against heartbeats that stop.
TEST(AnEndpointIsCold, asLongAsItsReportSaysOrIsMissing)
{
    Load load;
    const core::TimePoint begin = load.now();
    section("a stuck report leaves it its rate", [&] {
        for (int second = 0; second < 10; ++second) {
            load.setCold(coldFor(3s, load.now()));
            load.run(160, 1s);
        }
        CHECK(load.mostInASecond(begin) <= MostInASecond);
        CHECK(load.starts.size() >= 155);
    });
    section("without heartbeats it is cold again after their time-out", [&] {
        load.setCold(coldFor(0ms, load.now()));
        load.run(160, HeartbeatTimeout);
        const core::TimePoint overdue = load.now() + 1ms;
        load.run(160, 3s);
        CHECK(load.mostInASecond(overdue) <= MostInASecond);
    });
}

// Guards against a burst after each start of the node: one every 700 ms, under 50 times the rate.
TEST(AnEndpointIsCold, alsoAfterARestartOfItsNode)
{
    Load load;
    const core::TimePoint begin = load.now();
    for (int i = 0; i < 8; ++i) {
        load.restart(coldFor(3s, load.now()));
        load.run(800, 700ms);
    }
    CHECK(load.mostInASecond(begin) <= MostInASecond);
}

// Guards against a limit where no service resource asks for one.
TEST(AnEndpointIsCold, withoutEffectIfItsServiceHasNoRate)
{
    Load load;
    const core::TimePoint begin = load.now();
    load.setCold({{}, ColdState(HeartbeatTimeout).withHeartbeat(3s, begin)});
    load.run(800, 1s);
    CHECK(load.starts.size() >= 700);
    LONGS_EQUAL(0, load.refused);
}

// Guards against a waiting request that nothing wakes when its token is due, and a time to return that is too early.
TEST(AnEndpointIsCold, andItsServiceWakesWhatWaits)
{
    Harness harness({.targetWait = 100ms});
    harness.service().setCold(coldFor(2s, harness.now()));
    harness.service().setSlots(4);
    const auto first = harness.send(callNamed("first"));
    const auto second = harness.send(callNamed("second"));
    section("one request fits into the target wait, the other is told when a token is due", [&] {
        CHECK(harness.running().empty());
        CHECK_FALSE(first->response.has_value());
        CHECK(second->response.has_value());
        const core::Refusal &refusal = *(*second->response)->refusal;
        CHECK(refusal.reason() == core::RefusalReason::Overloaded);
        CHECK(refusal.outcome() == core::Outcome::NotRun);
        CHECK(*refusal.retryAfter() >= 125ms);
        CHECK(*refusal.retryAfter() < 250ms);
    });
    section("those that follow are told later times, up to when the endpoint is warm", [&] {
        core::Duration last{};
        for (int i = 0; i < 100; ++i) {
            last = *(*harness.send(callNamed("more"))->response)->refusal->retryAfter();
        }
        CHECK(last >= 2s);
        CHECK(last < 3s);
    });
    section("a timer starts the waiting request", [&] {
        harness.advance(63ms);
        harness.io().restart();
        harness.io().run_for(90ms);
        CHECK(harness.running() == Names{"first"});
    });
    section("and the counters tell", [&] {
        LONGS_EQUAL(1, harness.service().state()->counters.coldStarted);
        LONGS_EQUAL(101, harness.service().state()->counters.coldRefused);
    });
}
