#pragma once

#include "berylspring/admission/admission_service.h"
#include "berylspring/core/time.h"
#include "berylspring/http/client.h"
#include "berylspring/http/endpoint_announcement.h"
#include "berylspring/node/endpoint_leaves.h"
#include "berylspring/node/in_flight_table.h"
#include "berylspring/node/protocols.h"
#include "berylspring/telemetry/span.h"
#include "berylspring/wire/datagrams.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace berylspring::node {

/** @brief Dependencies of the local endpoint. No hook is called under a lock. */
struct LocalEndpointHooks
{
    /** How many requests a cold endpoint of a service may be sent; without this hook, any number. */
    std::function<admission::ColdRule(const core::ServiceId &)> coldRule;
    /** Called when coldLimit() has changed for another reason than a heartbeat or the time. */
    std::function<void()> coldChanged;
};

/** @brief Registration of the endpoint on this host, and the HTTP client that calls it. Thread-safe. */
class LocalEndpoint
{
public:
    /** An announcement expires if no heartbeat renews it within this time. */
    static constexpr core::Duration AnnouncementLifetime = std::chrono::seconds(5);
    /** Age from which a heartbeat is overdue: the endpoint may have restarted, so it counts as cold. */
    static constexpr core::Duration HeartbeatTimeout = AnnouncementLifetime / 2;

    /** @brief Effect of a heartbeat on the registration. */
    enum class HeartbeatResult {
        Renewed, ///< The announcement was renewed unchanged.
        Draining, ///< The endpoint began to drain and accepts no new requests.
        Started, ///< A different endpoint, or a restart of the same one, was registered.
        Stale, ///< Older than the registration or than a recorded leave; ignored.
    };

    LocalEndpoint(boost::asio::any_io_executor executor,
                  std::uint64_t maxBodyBytes,
                  const Protocols &protocols,
                  InFlightTable &inFlight,
                  core::RandomSource random,
                  telemetry::SpanSink spans,
                  LocalEndpointHooks hooks = {});

    /** @brief Registers or renews the endpoint. A late heartbeat counts only if nothing renews the registration. */
    HeartbeatResult heartbeat(const http::EndpointHeartbeat &heartbeat, core::TimePoint now);
    /** @brief Stops new requests to the endpoint; later heartbeats of the same incarnation do not undo this. */
    void drain();
    /**
     * @brief Records that an endpoint leaves, even if this node has not received a heartbeat of it since it started.
     * @return Whether it is the endpoint registered here, which the caller must then drain.
     */
    [[nodiscard]] bool leave(const http::EndpointLeave &leave);
    /** @brief Records that the endpoint of a heartbeat drains, without registering it. */
    void recordDrain(const http::EndpointHeartbeat &heartbeat);
    /**
     * @brief Adds the leaves that earlier processes of this host have acknowledged.
     * @return Whether the registered endpoint is among them and is not draining; the caller must then drain it.
     */
    [[nodiscard]] bool restoreLeaves(const EndpointLeaves &earlier);
    /** @return The endpoints that have announced their end, by a drain or a leave. */
    [[nodiscard]] EndpointLeaves leaves() const;
    void reportLoad(const http::LoadReport &report);
    /** @brief Records that its data centre was taken back after an evacuation, in which it may have become cold. */
    void takenBack(core::TimePoint now);
    /** @return Whether the endpoint is cold and what it tolerates then; it outlasts the registration. */
    [[nodiscard]] admission::ColdLimit coldLimit() const;
    /** @return Announced slots; 0 without an endpoint or after its announcement has expired. */
    [[nodiscard]] std::uint32_t slots(core::TimePoint now) const;
    [[nodiscard]] bool isDraining() const;
    /** @return Id of the registered endpoint; empty without one or in a protocol without ids. */
    [[nodiscard]] std::string id() const;
    /** @return State to publish to the members, with load and level of the admission; nothing without an endpoint. */
    [[nodiscard]] std::optional<wire::EndpointState> state(const admission::AdmissionState &admission,
                                                           core::TimePoint now) const;

    /** @brief Sends a request to the endpoint, with a context token for the nested calls that it makes. */
    [[nodiscard]] boost::asio::awaitable<admission::EndpointResult> call(wire::CallRequest request);

private:
    struct Registration
    {
        http::EndpointAnnouncement announcement;
        core::TimePoint renewedAt;
        std::uint64_t sequence = 0;
        bool isDraining = false;
        std::uint32_t reportedRunning = 0;
        std::shared_ptr<http::Client> client;
    };
    /** @brief Endpoint that a call is sent to; a copy, since the registration may change during the call. */
    struct Target
    {
        std::string id;
        std::shared_ptr<http::Client> client;
    };
    [[nodiscard]] HeartbeatResult registerHeartbeat(const http::EndpointHeartbeat &heartbeat, core::TimePoint now);
    [[nodiscard]] Target target() const;
    [[nodiscard]] Registration makeRegistration(const http::EndpointHeartbeat &heartbeat, core::TimePoint now) const;
    [[nodiscard]] boost::asio::awaitable<admission::EndpointResult>
    failedCall(const std::string &requestId, const http::Error &error, const Target &target);
    /** @brief Records a failed connection, unless another endpoint has replaced the target since. */
    void recordConnectionFailure(const Target &target);

    boost::asio::any_io_executor m_executor;
    std::uint64_t m_maxBodyBytes;
    std::shared_ptr<http::BodyBudget> m_bodyBudget; ///< Shared by the clients of all registrations.
    const Protocols &m_protocols;
    InFlightTable &m_inFlight;
    core::RandomSource m_random;
    telemetry::SpanSink m_spans;
    LocalEndpointHooks m_hooks;
    mutable std::mutex m_mutex;
    std::optional<Registration> m_registration;
    admission::ColdState m_cold{HeartbeatTimeout};
    EndpointLeaves m_leaves;
};

}
