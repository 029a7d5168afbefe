#pragma once

#include "berylspring/admission/admission_queue.h"
#include "berylspring/admission/admission_state.h"
#include "berylspring/admission/admitted_level.h"
#include "berylspring/admission/cold_state.h"
#include "berylspring/admission/concurrency_limit.h"
#include "berylspring/admission/service_times.h"
#include "berylspring/admission/settings.h"
#include "berylspring/admission/start_rate.h"
#include "berylspring/core/outcome.h"
#include "berylspring/core/time.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace berylspring::admission {

/** @brief Admission decision on a request. */
struct AdmissionDecision
{
    enum class Kind {
        Wait,
        Start,
        StartAlone, ///< Nothing else runs until it has finished.
        Refuse,
    };
    Kind kind = Kind::Wait;
    core::RefusalReason reason = core::RefusalReason::Overloaded; ///< With Refuse.
    core::Duration maxWait{}; ///< With Wait: time after which the request calls leave().
    /** Set if the endpoint is cold: with Refuse, when a token is due for the caller; with a start, zero. */
    std::optional<core::Duration> coldWait;
    bool isDisplaced = false; ///< With Refuse: another request has taken its place in the queue.
    [[nodiscard]] bool operator==(const AdmissionDecision &) const = default;
    [[nodiscard]] bool isStart() const noexcept
    {
        return kind == Kind::Start || kind == Kind::StartAlone;
    }
};

/** @brief Decision on one request, and the waiting requests that were decided at the same time. */
struct GateResult
{
    AdmissionDecision decision;
    std::vector<std::uint64_t> decided; ///< Waiting requests to wake; each then calls leave().
};

/** @brief Observations about a finished run, for EndpointGate::finish(). */
struct RunReport
{
    bool ranAlone = false;
    bool isSample = false; ///< Whether the latency is a sample of the endpoint's service time.
    bool isOverloadError = false;
    core::Duration latency{};
    std::uint32_t nestedInFlight = 0; ///< Calls that the running requests are waiting for.
};

/**
 * @brief Decides which requests run on one endpoint. Thread-safe; a single shard under its own lock.
 *
 * Each request calls arrive(). A request that has to wait calls leave() when it is woken, cancelled or out of time. A
 * request that was started calls finish().
 *
 * While the endpoint is cold, each start takes a token of a StartRate, also with the controls off. The owner calls
 * tick() at nextStartAt().
 */
class EndpointGate
{
public:
    EndpointGate(const AdmissionSettings &settings, core::TimePoint now);

    /** @param isSuspect Whether the request ran during a crash and must run alone. */
    [[nodiscard]] GateResult arrive(const QueueEntry &entry, bool isSuspect, core::TimePoint now);
    /** @return The decision on a waiting request. If there is none yet, the request is removed and refused. */
    [[nodiscard]] GateResult leave(std::uint64_t id, core::TimePoint now);
    [[nodiscard]] std::vector<std::uint64_t> finish(const RunReport &report, core::TimePoint now);
    [[nodiscard]] std::vector<std::uint64_t> setSlots(std::uint32_t slots, core::TimePoint now);
    /** @brief Takes the state of the endpoint over, unless it is older than the one it has. */
    [[nodiscard]] std::vector<std::uint64_t> setCold(const ColdLimit &cold, core::TimePoint now);
    /** @return When a request that waits for a token, or for the endpoint to be warm, can start; nothing if none does.
     */
    [[nodiscard]] std::optional<core::TimePoint> nextStartAt(core::TimePoint now) const;
    /** @brief Starts the waiting requests whose time has come. */
    [[nodiscard]] std::vector<std::uint64_t> tick(core::TimePoint now);
    /**
     * @brief Refuses new requests. Waiting ones start for AdmissionSettings::drainStartWindow more.
     * @return Whether the drain begins now; false if it has begun before.
     */
    bool startDrain(core::TimePoint now);
    /** @brief Refuses new and waiting requests: the endpoint was replaced, or its drain leaves no time to start them.
     */
    [[nodiscard]] std::vector<std::uint64_t> retire();
    /**
     * @brief Refuses new and waiting requests as Draining while the data centre of the endpoint is evacuated.
     *
     * Unlike a drain, it can end. Requests that run are completed.
     */
    [[nodiscard]] std::vector<std::uint64_t> setEvacuated(bool isEvacuated, core::TimePoint now);
    [[nodiscard]] bool isEvacuated() const;
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] AdmissionStateFields state(core::TimePoint now) const;
    /** @return Queue time that counts as a pressure of 1. */
    [[nodiscard]] core::Duration pressureWait(core::TimePoint now) const;

private:
    struct Suspect
    {
        std::uint64_t id = 0;
        core::TimePoint deadline;
    };
    using RequestIds = std::vector<std::uint64_t>;

    [[nodiscard]] std::optional<core::RefusalReason> refusalReason(const QueueEntry &entry, core::TimePoint now) const;
    [[nodiscard]] AdmissionDecision enqueue(const QueueEntry &entry, core::TimePoint now, RequestIds &decided);
    [[nodiscard]] AdmissionDecision enqueueSuspect(const QueueEntry &entry, core::TimePoint now);
    [[nodiscard]] std::size_t maxQueueLength(core::TimePoint now) const;
    /** @brief Begins or ends the use of tokens, as the endpoint has become cold or warm with time. */
    void refreshStartRate(core::TimePoint now);
    [[nodiscard]] bool hasToken(core::TimePoint now) const;
    [[nodiscard]] AdmissionDecision start(AdmissionDecision::Kind kind, core::TimePoint now);
    [[nodiscard]] AdmissionDecision refuseOverloaded(core::TimePoint now);
    /** @return Number of requests of the entry's kind that may wait for tokens of a cold endpoint. */
    [[nodiscard]] std::size_t maxColdQueueLength(const QueueEntry &entry, core::TimePoint now) const;
    void raiseLevel(core::TimePoint now);
    void startWaiting(core::TimePoint now, RequestIds &decided);
    [[nodiscard]] bool startSuspect(core::TimePoint now, RequestIds &decided);
    void refuseWaiting(core::RefusalReason reason, RequestIds &decided);
    void decide(std::uint64_t id, AdmissionDecision decision, RequestIds &decided);
    [[nodiscard]] std::optional<AdmissionDecision> resolveWaiting(std::uint64_t id, core::TimePoint now);

    const AdmissionSettings m_settings;
    mutable std::mutex m_mutex;
    ConcurrencyLimit m_limit;
    ServiceTimes m_serviceTimes;
    AdmittedLevel m_level;
    AdmissionQueue m_queue;
    std::deque<Suspect> m_suspects;
    std::unordered_map<std::uint64_t, AdmissionDecision> m_decisions; ///< Decided and not yet fetched by leave().
    std::uint32_t m_running = 0;
    bool m_isSuspectRunning = false;
    std::optional<core::TimePoint> m_drainingForSuspectSince;
    core::TimePoint m_nextSuspectAt;
    std::optional<core::TimePoint> m_drainingSince;
    ColdLimit m_cold;
    std::optional<StartRate> m_startRate; ///< While the endpoint is cold.
    core::TimePoint m_lastReturn; ///< Time named to the caller that was refused last while the endpoint was cold.
    bool m_isEvacuated = false;
};

}
