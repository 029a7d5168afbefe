#pragma once

#include "admission/async_event.h"
#include "admission/start_timer.h"
#include "berylspring/admission/admission_service.h"
#include "berylspring/admission/endpoint_gate.h"
#include "berylspring/admission/outstanding_work.h"
#include "berylspring/admission/pressure.h"
#include "berylspring/admission/quarantine.h"
#include "berylspring/core/sharded_map.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace berylspring::admission {

/** @brief Shared state of the service; the coroutines that use it keep it alive. */
class AdmissionService::Core : public std::enable_shared_from_this<AdmissionService::Core>
{
public:
    Core(boost::asio::any_io_executor executor,
         AdmissionSettings settings,
         AdmissionHooks hooks,
         std::shared_ptr<AdmissionHistory> history);

    static boost::asio::awaitable<wire::CallResponse> run(std::shared_ptr<Core> self, wire::CallRequest request);
    static boost::asio::awaitable<void> idle(std::shared_ptr<Core> self);

    void setSlots(std::uint32_t slots);
    void setCold(const ColdLimit &cold);
    static void startDrain(const std::shared_ptr<Core> &self);
    void retire();
    void setEvacuated(bool isEvacuated);
    [[nodiscard]] AdmissionState state() const;
    /** @brief Destroys the waiting coroutines, whose frames keep this object alive. */
    void abandonWaiting();

private:
    /** State of one request from its arrival to its end. */
    struct RequestContext
    {
        std::uint64_t id = 0;
        core::Digest digest;
        core::TimePoint arrivedAt;
        core::TimePoint deadline;
        std::optional<core::TimePoint> startedAt;
        std::string requestId; ///< As CallRequestFields::requestId.
        core::ServiceId service;
    };
    class RunGuard;

    static boost::asio::awaitable<AdmissionDecision>
    waitForStart(std::shared_ptr<Core> self, QueueEntry entry, bool isSuspect);
    static boost::asio::awaitable<EndpointResult> callEndpoint(std::shared_ptr<Core> self, wire::CallRequest request);

    [[nodiscard]] RequestContext contextOf(const wire::CallRequest &request);
    [[nodiscard]] QueueEntry entryOf(const RequestContext &context, const wire::CallRequest &request) const;
    [[nodiscard]] bool isKeyWithdrawn(const wire::CallRequest &request) const;
    [[nodiscard]] wire::CallResponse
    processResult(const RequestContext &context, bool ranAlone, EndpointResult &&result);
    void recordCrash(const RequestContext &context, bool ranAlone);
    void release(const RunReport &report);
    void wake(const std::vector<std::uint64_t> &ids);
    /** @brief Sets the timer for the next start at a cold endpoint, if a request waits for it. */
    void armStartTimer();
    void wakeIdleWaiters();
    void recordPressure(double sample, core::TimePoint now);
    void count(core::RefusalReason reason);
    [[nodiscard]] wire::CallResponse
    refuse(core::RefusalReason reason, core::Outcome outcome, const RequestContext &context);
    [[nodiscard]] wire::CallResponse refuseStart(const AdmissionDecision &decision, const RequestContext &context);
    [[nodiscard]] wire::CallResponse withFeedback(wire::CallResponse response, const RequestContext &context) const;

    boost::asio::any_io_executor m_executor;
    AdmissionSettings m_settings;
    AdmissionHooks m_hooks;
    EndpointGate m_gate;
    std::shared_ptr<AdmissionHistory> m_history;
    OutstandingWork m_work;
    core::ShardedMap<std::uint64_t, std::shared_ptr<detail::AsyncEvent>> m_waiting;
    mutable std::mutex m_pressureMutex;
    Pressure m_pressure;
    std::mutex m_idleMutex;
    std::vector<std::shared_ptr<detail::AsyncEvent>> m_idleWaiters;
    std::atomic<std::uint64_t> m_nextId{1};
    std::shared_ptr<detail::StartTimer> m_startTimer;
};

}
