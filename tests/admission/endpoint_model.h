#pragma once

#include "berylspring/admission/endpoint_gate.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace berylspring::test {

/** @brief Parameters of an endpoint, its load and its admission; times in seconds. */
struct ModelSettings
{
    admission::LimitRule rule = admission::LimitRule::Elasticity;
    bool areControlsOn = true;
    std::uint32_t announcedSlots = 40;
    double capacity = 40; ///< Requests that run at full speed at once; more requests share the capacity.
    double contention = 0; ///< Total speed at twice the capacity is 1 / (1 + contention) of the full speed.
    std::uint32_t refusesAbove = 0; ///< The endpoint answers 503 above this number of requests; 0: never.
    double serviceTime = 0.020; ///< Mean, of a request alone on the endpoint.
    double load = 3; ///< Offered requests relative to the capacity.
    double deadline = 1; ///< Time from arrival to deadline.
    double slowFrom = 0; ///< A dependency is slow from here to slowTo.
    double slowTo = 0;
    double slowFactor = 1;
    double length = 30;
    std::uint64_t seed = 1;
};

/** @brief Discrete-event simulation without real time. Only responses within the deadline count as goodput. */
class EndpointModel
{
public:
    static constexpr double BucketSeconds = 0.1;

    explicit EndpointModel(const ModelSettings &settings)
        : m_settings(settings)
        , m_gate(gateSettings(settings), at(0))
        , m_random(settings.seed)
        , m_goodput(static_cast<std::size_t>(settings.length / BucketSeconds) + 1)
    {
        onDecided(m_gate.setSlots(settings.announcedSlots, at(0)));
        m_nextArrival = exponential() / arrivalRate();
    }

    void run()
    {
        while (m_now < m_settings.length) {
            step();
        }
    }
    /** @return Responses within the deadline per second between two times, relative to the endpoint's capacity. */
    [[nodiscard]] double goodput(double from, double to) const
    {
        double sum = 0;
        const auto first = static_cast<std::size_t>(std::lround(from / BucketSeconds));
        const auto last = static_cast<std::size_t>(std::lround(to / BucketSeconds));
        for (std::size_t i = first; i < last; ++i) {
            sum += static_cast<double>(m_goodput[i]);
        }
        return sum / (to - from) / (m_settings.capacity / m_settings.serviceTime);
    }
    /** @return Time from `since` to the first one-second interval in which the goodput is at least `share`. */
    [[nodiscard]] double recoveryTime(double since, double share) const
    {
        double t = since;
        while (t + 1 < m_settings.length && goodput(t, t + 1) < share) {
            t += BucketSeconds;
        }
        return t - since;
    }
    [[nodiscard]] std::uint32_t limit() const
    {
        return m_gate.state(at(m_now)).limit;
    }
    [[nodiscard]] bool hasExceededLimit() const
    {
        return m_hasExceededLimit;
    }

private:
    struct Job
    {
        std::uint64_t id = 0;
        double startedAt = 0;
        double deadline = 0;
    };
    struct Waiting
    {
        double leaveAt = 0;
        double deadline = 0;
    };
    static constexpr double Never = std::numeric_limits<double>::infinity();

    static admission::AdmissionSettings gateSettings(const ModelSettings &settings)
    {
        admission::AdmissionSettings result;
        result.limitRule = settings.rule;
        result.areControlsOn = settings.areControlsOn;
        return result;
    }
    static core::Duration lasting(double seconds)
    {
        return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
    }
    static core::TimePoint at(double seconds)
    {
        return core::TimePoint{std::chrono::hours(1)} + lasting(seconds);
    }
    double exponential()
    {
        return std::exponential_distribution<double>(1)(m_random);
    }
    [[nodiscard]] double arrivalRate() const
    {
        return m_settings.load * m_settings.capacity / m_settings.serviceTime;
    }
    [[nodiscard]] double speed() const
    {
        const auto running = static_cast<double>(m_running.size());
        const double excess = std::max(0.0, running / m_settings.capacity - 1);
        const double shared = std::min(1.0, m_settings.capacity / std::max(1.0, running));
        const bool isSlow = m_now >= m_settings.slowFrom && m_now < m_settings.slowTo;
        return shared / (1 + m_settings.contention * excess) / (isSlow ? m_settings.slowFactor : 1);
    }
    [[nodiscard]] double nextEvent() const
    {
        double next = m_nextArrival;
        for (const double boundary : {m_settings.slowFrom, m_settings.slowTo}) {
            next = boundary > m_now ? std::min(next, boundary) : next;
        }
        if (!m_running.empty()) {
            next = std::min(next, m_now + (m_running.begin()->first - m_work) / speed());
        }
        if (!m_deadlines.empty()) {
            next = std::min(next, m_deadlines.begin()->first);
        }
        if (!m_leaving.empty()) {
            next = std::min(next, m_leaving.begin()->first);
        }
        return next;
    }
    void step()
    {
        const double next = std::max(nextEvent(), m_now);
        m_work += (next - m_now) * speed();
        m_now = next;
        endJobs();
        endWaiting();
        if (m_nextArrival <= m_now) {
            arrive();
            m_nextArrival = m_now + exponential() / arrivalRate();
        }
    }
    void endJobs()
    {
        constexpr double Rounding = 1e-9;
        while (!m_running.empty() && m_running.begin()->first <= m_work + Rounding) {
            const Job job = m_running.begin()->second;
            m_running.erase(m_running.begin());
            m_deadlines.erase({job.deadline, job.id});
            if (m_now <= job.deadline) {
                ++m_goodput[std::min(m_goodput.size() - 1, static_cast<std::size_t>(m_now / BucketSeconds))];
            }
            finish(job.startedAt, false);
        }
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now) {
            const std::uint64_t id = m_deadlines.begin()->second;
            m_deadlines.erase(m_deadlines.begin());
            const auto job = std::find_if(
                m_running.begin(), m_running.end(), [&](const auto &entry) { return entry.second.id == id; });
            const double startedAt = job->second.startedAt;
            m_running.erase(job);
            finish(startedAt, false);
        }
    }
    void endWaiting()
    {
        while (!m_leaving.empty() && m_leaving.begin()->first <= m_now) {
            leave(m_leaving.begin()->second);
        }
    }
    void arrive()
    {
        admission::QueueEntryFields fields;
        fields.id = ++m_lastId;
        fields.workspace = core::WorkspaceId("garden");
        fields.arrivedAt = at(m_now);
        fields.deadline = at(m_now + m_settings.deadline);
        const auto result = m_gate.arrive(admission::QueueEntry(fields), false, at(m_now));
        if (result.decision.isStart()) {
            start(fields.id, m_now + m_settings.deadline);
        } else if (result.decision.kind == admission::AdmissionDecision::Kind::Wait) {
            const double wait = std::chrono::duration<double>(result.decision.maxWait).count();
            m_waiting[fields.id] = Waiting{m_now + wait, m_now + m_settings.deadline};
            m_leaving.emplace(m_now + wait, fields.id);
        }
        onDecided(result.decided);
    }
    void onDecided(const std::vector<std::uint64_t> &ids)
    {
        for (const std::uint64_t id : ids) {
            leave(id);
        }
    }
    void leave(std::uint64_t id)
    {
        const auto waiting = m_waiting.find(id);
        if (waiting == m_waiting.end()) {
            return;
        }
        const double deadline = waiting->second.deadline;
        m_leaving.erase({waiting->second.leaveAt, id});
        m_waiting.erase(waiting);
        const auto result = m_gate.leave(id, at(m_now));
        if (result.decision.isStart()) {
            start(id, deadline);
        }
        onDecided(result.decided);
    }
    void start(std::uint64_t id, double deadline)
    {
        if (m_settings.refusesAbove > 0 && m_running.size() >= m_settings.refusesAbove) {
            finish(m_now, true);
            return;
        }
        // A fixed part keeps the distribution from being dominated by very short requests.
        const double work = m_settings.serviceTime * (0.3 + 0.7 * exponential());
        m_running.emplace(m_work + work, Job{id, m_now, deadline});
        if (m_settings.areControlsOn) {
            m_deadlines.emplace(deadline, id);
        }
        m_hasExceededLimit = m_hasExceededLimit || (m_settings.areControlsOn && m_running.size() > limit());
    }
    void finish(double startedAt, bool isOverloadError)
    {
        admission::RunReport report;
        report.isSample = true;
        report.isOverloadError = isOverloadError;
        report.latency = lasting(m_now - startedAt);
        onDecided(m_gate.finish(report, at(m_now)));
    }

    ModelSettings m_settings;
    admission::EndpointGate m_gate;
    std::mt19937_64 m_random;
    std::vector<std::uint64_t> m_goodput;
    std::multimap<double, Job> m_running; ///< By the value of m_work at which they end.
    std::set<std::pair<double, std::uint64_t>> m_deadlines; ///< Times at which running requests are cancelled.
    double m_work = 0; ///< Work per running request since the start, in seconds at full speed.
    std::map<std::uint64_t, Waiting> m_waiting;
    std::set<std::pair<double, std::uint64_t>> m_leaving; ///< Times at which waiting requests call leave().
    double m_now = 0;
    double m_nextArrival = 0;
    std::uint64_t m_lastId = 0;
    bool m_hasExceededLimit = false;
};

}
