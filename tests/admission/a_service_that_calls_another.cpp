#include "berylspring/admission/endpoint_gate.h"
#include "support/section.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

/** Target for the throughput at several times the capacity, as a share of the capacity. */
constexpr double GoodputTarget = 0.95;

const core::TimePoint startTime{1h};

/**
 * @brief A gate in front of an endpoint whose requests make calls in series to a second service, which runs a fixed
 * number of calls and lets the others wait. Discrete events without real time.
 */
class ChainModel
{
public:
    static constexpr std::uint32_t MiddleSlots = 240;
    static constexpr std::uint32_t DeepSlots = 100;
    static constexpr int CallsOfARequest = 5;
    static constexpr core::Duration CallTime = 55ms;
    /** Mean time that the endpoint works before each call; the calls take most of the time of a request. */
    static constexpr core::Duration OwnTime = 10ms;

    ChainModel()
        : m_gate({}, startTime)
    {
        wake(m_gate.setSlots(MiddleSlots, startTime));
        schedule(startTime, Event::Arrival, 0);
    }

    /** @param load Requests relative to those whose calls the second service can run. */
    void run(core::Duration duration, double load)
    {
        const core::TimePoint end = m_now + duration;
        const double interval = std::chrono::duration<double>(CallTime).count() * CallsOfARequest / DeepSlots / load;
        while (m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            if (event.kind == Event::Arrival) {
                arrive();
                schedule(m_now + randomTime(interval), Event::Arrival, 0);
            } else {
                handle(event);
            }
        }
        m_now = end;
    }

    [[nodiscard]] std::uint32_t limit() const
    {
        return m_gate.state(m_now).limit;
    }
    /** @return Calls that the second service has ended since the last call of this function. */
    [[nodiscard]] int takeEndedCalls()
    {
        return std::exchange(m_endedCalls, 0);
    }

private:
    struct Event
    {
        enum Kind {
            Arrival,
            Leave,
            OwnWorkEnds,
            CallEnds,
        };
        core::TimePoint at;
        Kind kind;
        std::uint64_t request;
        [[nodiscard]] bool operator>(const Event &other) const
        {
            return at > other.at;
        }
    };
    struct Request
    {
        core::TimePoint startedAt;
        int calls = 0;
    };

    core::Duration randomTime(double meanSeconds)
    {
        std::exponential_distribution<double> distribution(1 / meanSeconds);
        return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(distribution(m_random)));
    }
    void schedule(core::TimePoint at, Event::Kind kind, std::uint64_t request)
    {
        m_events.push({at, kind, request});
    }

    void arrive()
    {
        const std::uint64_t id = ++m_lastId;
        const admission::QueueEntry entry({.id = id, .isNested = true, .arrivedAt = m_now, .deadline = m_now + 3s});
        const auto result = m_gate.arrive(entry, false, m_now);
        if (result.decision.isStart()) {
            start(id);
        } else if (result.decision.kind == admission::AdmissionDecision::Kind::Wait) {
            schedule(m_now + result.decision.maxWait, Event::Leave, id);
            m_waiting.insert({id, true});
        }
        wake(result.decided);
    }
    void wake(const std::vector<std::uint64_t> &ids)
    {
        for (const std::uint64_t id : ids) {
            leave(id);
        }
    }
    void leave(std::uint64_t id)
    {
        if (m_waiting.erase(id) == 0) {
            return;
        }
        const auto result = m_gate.leave(id, m_now);
        if (result.decision.isStart()) {
            start(id);
        }
        wake(result.decided);
    }
    void start(std::uint64_t id)
    {
        m_requests.insert({id, Request{.startedAt = m_now}});
        work(id);
    }
    void work(std::uint64_t id)
    {
        schedule(m_now + randomTime(std::chrono::duration<double>(OwnTime).count()), Event::OwnWorkEnds, id);
    }
    void handle(const Event &event)
    {
        switch (event.kind) {
        case Event::Leave:
            leave(event.request);
            break;
        case Event::OwnWorkEnds:
            ++m_nestedInFlight;
            m_deepQueue.push_back(event.request);
            startCalls();
            break;
        case Event::CallEnds:
            --m_nestedInFlight;
            --m_deepRunning;
            ++m_endedCalls;
            startCalls();
            continueRequest(event.request);
            break;
        case Event::Arrival:
            break;
        }
    }
    void startCalls()
    {
        while (m_deepRunning < DeepSlots && !m_deepQueue.empty()) {
            ++m_deepRunning;
            schedule(m_now + CallTime, Event::CallEnds, m_deepQueue.front());
            m_deepQueue.pop_front();
        }
    }
    void continueRequest(std::uint64_t id)
    {
        Request &request = m_requests.at(id);
        if (++request.calls < CallsOfARequest) {
            work(id);
            return;
        }
        const core::Duration latency = m_now - request.startedAt;
        m_requests.erase(id);
        wake(m_gate.finish({.isSample = true, .latency = latency, .nestedInFlight = m_nestedInFlight}, m_now));
    }

    admission::EndpointGate m_gate;
    std::minstd_rand m_random{1};
    core::TimePoint m_now = startTime;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::map<std::uint64_t, bool> m_waiting;
    std::map<std::uint64_t, Request> m_requests;
    std::deque<std::uint64_t> m_deepQueue;
    std::uint32_t m_deepRunning = 0;
    std::uint32_t m_nestedInFlight = 0;
    std::uint64_t m_lastId = 0;
    int m_endedCalls = 0;
};

}

TEST_GROUP(AServiceThatCallsAnother){};

// Guards against a limit that is cut because the calls of an endpoint are slow, which leaves slots of the service that
// it calls unused while requests wait and are refused in front of it (SHORT).
TEST(AServiceThatCallsAnother, letsItsCallsFillTheServiceBehind)
{
    constexpr double CallsPerSecond =
        ChainModel::DeepSlots / std::chrono::duration<double>(ChainModel::CallTime).count();
    ChainModel model;
    section("at half of the load, no request waits", [&] {
        model.run(5s, 0.5);
        LONGS_EQUAL(ChainModel::MiddleSlots, model.limit());
    });
    section("in an overload, the service behind is used from the first seconds on", [&] {
        static_cast<void>(model.takeEndedCalls());
        for (int second = 0; second < 60; second += 5) {
            model.run(5s, 2);
            const double share = model.takeEndedCalls() / (5 * CallsPerSecond);
            if (share < GoodputTarget) {
                FAIL(("from " + std::to_string(second) + " s: share " + std::to_string(share) + ", limit "
                      + std::to_string(model.limit()))
                         .c_str());
            }
        }
    });
}
