#pragma once

#include "berylspring/admission/admission_history.h"
#include "berylspring/admission/admission_state.h"
#include "berylspring/admission/cold_state.h"
#include "berylspring/admission/crash_report.h"
#include "berylspring/admission/settings.h"
#include "berylspring/core/digest.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/wire/messages.h"

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::admission {

/** @brief Result of a call to the endpoint. */
struct EndpointResult
{
    wire::CallResponse response;
    bool connectionLost = false; ///< The connection ended before the complete response was received.
    bool maybeSent = true; ///< Whether the endpoint may have received any byte of the request.
    [[nodiscard]] bool operator==(const EndpointResult &) const = default;
};

/** @brief Dependencies of the admission service. No hook is called under a lock. */
struct AdmissionHooks
{
    /** Runs a request on the endpoint; `remaining` is the time until its deadline. Cancelled with the call of run(). */
    std::function<boost::asio::awaitable<EndpointResult>(wire::CallRequest)> endpointCall;
    std::function<core::TimePoint()> now;
    core::RandomSource random;
    std::function<bool(const core::Digest &)> isKeyWithdrawn;
    /** Weight of a workspace; values that are not positive count as 1. */
    std::function<double(const core::WorkspaceId &)> weightOf;
    /** Calls of the endpoint to other services that are in flight; empty: it makes none. */
    std::function<std::uint32_t()> nestedInFlight;
    /** Reports a request that ran during a crash, so that the peers run it alone or, in quarantine, not at all. */
    std::function<void(CrashReport)> crashed;
};

/** @brief Decides when requests run on one endpoint of this host, and runs them. Thread-safe. */
class AdmissionService
{
public:
    /** @param history Shared by the services of all endpoints that this host runs in turn. */
    AdmissionService(boost::asio::any_io_executor executor,
                     AdmissionSettings settings,
                     AdmissionHooks hooks,
                     std::shared_ptr<AdmissionHistory> history);
    ~AdmissionService();
    AdmissionService(const AdmissionService &) = delete;
    AdmissionService &operator=(const AdmissionService &) = delete;

    /**
     * @brief Queues a request, runs it and updates the limit and the quarantine from the result.
     *
     * A request that is cancelled while it waits never starts; cancelling a running one cancels its endpointCall.
     * @return The endpoint's response or a refusal, with admittedLevel, inFlight, queueTime and serviceTime filled in.
     *         A refusal has the outcome NotRun only when the endpoint received no byte of the request.
     */
    [[nodiscard]] boost::asio::awaitable<wire::CallResponse> run(wire::CallRequest request);
    /** @param slots Announced slots of the endpoint; 0 when there is no endpoint. */
    void setSlots(std::uint32_t slots);
    /**
     * @brief Limits the starts while the endpoint is cold. A new service takes no request before the first call of
     *        setSlots(), so the state of the endpoint is set before its slots.
     */
    void setCold(const ColdLimit &cold);
    /** @brief Refuses new requests from now on; running and waiting requests are completed. */
    void startDrain();
    /**
     * @brief Refuses new and waiting requests as Draining, for an endpoint that another one has replaced.
     *
     * The hook endpointCall reaches the new endpoint, so a waiting request would start there beyond its limit.
     */
    void retire();
    /** @brief Refuses new and waiting requests as Draining, until it is called with false; running ones complete. */
    void setEvacuated(bool isEvacuated);
    /** @brief Completes when no request runs or waits. */
    [[nodiscard]] boost::asio::awaitable<void> idle();
    [[nodiscard]] AdmissionState state() const;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

}
