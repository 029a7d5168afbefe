#pragma once

#include "berylspring/admission/admission_state.h"
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

/** @brief What came back from the endpoint. */
struct EndpointResult
{
    wire::CallResponse response;
    bool connectionLost = false; ///< The connection ended before the whole answer was there.
    bool maybeSent = true; ///< Whether the endpoint may have received any byte of the request.
    [[nodiscard]] bool operator==(const EndpointResult &) const = default;
};

/** @brief What the admission needs from its surroundings. None is called under a lock. */
struct AdmissionHooks
{
    /** Runs a request on the endpoint; `remaining` is its time left. Is cancelled with the caller of run(). */
    std::function<boost::asio::awaitable<EndpointResult>(wire::CallRequest)> endpointCall;
    std::function<core::TimePoint()> now;
    core::RandomSource random;
    std::function<bool(const core::Digest &)> isKeyWithdrawn;
    /** Weight of a workspace; values that are not positive count as 1. */
    std::function<double(const core::WorkspaceId &)> weightOf;
    /** Tells the peers of a new quarantine. */
    std::function<void(wire::QuarantineNotice)> quarantined;
    /** Optional: tells the peers that a request ran during a crash, so that they run it alone. */
    std::function<void(core::Digest)> suspected;
};

/** @brief Decides when requests run on the endpoint of this host, and runs them. Thread-safe. */
class AdmissionService
{
public:
    AdmissionService(boost::asio::any_io_executor executor, AdmissionSettings settings, AdmissionHooks hooks);
    ~AdmissionService();
    AdmissionService(const AdmissionService &) = delete;
    AdmissionService &operator=(const AdmissionService &) = delete;

    /**
     * @brief Queues a request, runs it and learns from it.
     *
     * A cancelled waiting request never starts; a cancelled running one cancels its endpointCall.
     * @return The endpoint's answer or a refusal, with admittedLevel, inFlight, queueTime and serviceTime filled.
     *         A refusal has the outcome NotRun only when the endpoint received no byte of the request.
     */
    [[nodiscard]] boost::asio::awaitable<wire::CallResponse> run(wire::CallRequest request);
    /** @param slots Announced slots of the endpoint; 0 when there is no endpoint. */
    void setSlots(std::uint32_t slots);
    /** @brief Refuses new requests from now on; what runs or waits is finished. */
    void startDrain();
    /** @brief Completes when nothing runs or waits. */
    [[nodiscard]] boost::asio::awaitable<void> idle();
    /** @brief Takes over a quarantine from a peer. */
    void addQuarantine(const wire::QuarantineNotice &notice);
    /** @brief A peer saw this request run during a crash: it runs alone here. */
    void addSuspect(const core::Digest &requestDigest);
    [[nodiscard]] AdmissionState state() const;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

}
