#pragma once

#include "berylspring/admission/admission_service.h"
#include "berylspring/config/config_service.h"
#include "berylspring/core/clock.h"
#include "berylspring/http/operator_api.h"
#include "berylspring/http/server.h"
#include "berylspring/idempotency/service.h"
#include "berylspring/limit/limit_service.h"
#include "berylspring/membership/membership_service.h"
#include "berylspring/node/dispatcher.h"
#include "berylspring/node/endpoint_views.h"
#include "berylspring/node/entry.h"
#include "berylspring/node/explain.h"
#include "berylspring/node/in_flight_table.h"
#include "berylspring/node/join_progress.h"
#include "berylspring/node/local_endpoint.h"
#include "berylspring/node/node.h"
#include "berylspring/node/protocols.h"
#include "berylspring/node/stop_schedule.h"
#include "berylspring/telemetry/loop_delay.h"
#include "berylspring/telemetry/metrics.h"
#include "berylspring/telemetry/span_buffer.h"
#include "berylspring/wire/datagram_codec.h"
#include "berylspring/wire/peer_pool.h"
#include "berylspring/wire/peer_server.h"
#include "node/evacuations.h"
#include "node/heartbeat_gate.h"
#include "node/leave_exchange.h"
#include "node/quarantine_exchange.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

namespace berylspring::node {

/** @brief Services of a node and the hooks that connect them. */
class Node::Implementation : public std::enable_shared_from_this<Node::Implementation>
{
public:
    Implementation(boost::asio::any_io_executor executor, Settings settings, Protocols protocols);

    Result<NodePorts> start();
    boost::asio::awaitable<void> stop();

private:
    [[nodiscard]] Result<std::uint16_t> startPeers();

    // Hooks of the services, in node_hooks.cpp.
    wire::PeerOptions peerOptions() const;
    membership::MembershipSettings membershipSettings() const;
    membership::MembershipHooks membershipHooks();
    config::ConfigHooks configHooks();
    [[nodiscard]] LimitSettings limitSettings() const;
    limit::LimitHooks limitHooks();
    idempotency::IdempotencyHooks idempotencyHooks();
    admission::AdmissionHooks admissionHooks();
    detail::QuarantineExchangeHooks quarantineExchangeHooks();
    detail::LeaveExchangeHooks leaveExchangeHooks();
    LocalEndpointHooks localEndpointHooks();
    DispatcherHooks dispatcherHooks();
    EntryHooks entryHooks();
    http::OperatorHooks operatorHooks();
    ExplainHooks explainHooks();
    std::vector<telemetry::Sample> samples() const;

    // Messages and requests, in node_handlers.cpp.
    boost::asio::awaitable<wire::Message> handlePeer(core::HostId from, wire::Message message);
    boost::asio::awaitable<wire::CallResponse> runAdmitted(wire::CallRequest call);
    boost::asio::awaitable<http::Reply> handleCaller(http::Request request);
    /** @brief Pulls records from another data centre unless the own one brings them first. */
    boost::asio::awaitable<void> pullFromElsewhere(core::HostId host, core::Offset offset);
    void recordRejection(const http::RejectedRequest &request);
    boost::asio::awaitable<http::Reply> handleEndpoint(http::Request request);
    boost::asio::awaitable<http::ChangePage> changes(core::Offset from);
    std::vector<http::NodeStatus> nodeStatus() const;
    void refreshMembers(core::Offset change);

    boost::asio::awaitable<http::Reply> handleOperator(http::Request request);
    void processHeartbeat(const http::EndpointHeartbeat &heartbeat);
    void applyHeartbeat(const http::EndpointHeartbeat &heartbeat, core::TimePoint receivedAt);
    /** @brief Starts afresh with an endpoint that has just announced itself. */
    void replaceAdmission();
    void drainEndpoint();

    // Evacuations, in node_evacuation.cpp.
    /** @brief Puts the evacuations of the configuration in force, without delay. */
    void applyEvacuations();
    void enforceEvacuation(admission::AdmissionService &service) const;

    void publishEndpoint();
    /** @brief Passes on whether the endpoint is cold, and publishes it if that has changed. */
    void updateCold();
    /** @brief Logs that the endpoint has become cold or warm. */
    void logColdChange(const admission::ColdLimit &cold, core::TimePoint time);
    void logStatus() const;
    /** @return Delays of timers since the last status line. */
    [[nodiscard]] telemetry::LoopDelay loopDelay() const;
    boost::asio::awaitable<void> publishLoop();
    boost::asio::awaitable<void> linger(StopSchedule schedule);
    boost::asio::awaitable<void> abortRequests();
    [[nodiscard]] std::optional<StopSchedule> stopSchedule() const;
    boost::asio::awaitable<bool> finishWork();
    boost::asio::awaitable<bool> sendNotice(core::HostId host, wire::QuarantineNotice notice);

    [[nodiscard]] telemetry::SpanSink spanSink() const;
    /** @return Weight of the workspace relative to others; 1 for one that does not exist. */
    [[nodiscard]] double weightOf(const core::WorkspaceId &name) const;
    [[nodiscard]] std::shared_ptr<admission::AdmissionService> admission() const;
    [[nodiscard]] std::shared_ptr<admission::AdmissionService> makeAdmission();
    [[nodiscard]] std::vector<core::HostId> liveHosts(const core::DataCentreId &dataCentre) const;
    [[nodiscard]] std::vector<core::HostId> claimHosts(const core::DataCentreId &dataCentre) const;
    [[nodiscard]] bool isDeclared(const core::DataCentreId &dataCentre) const;
    [[nodiscard]] JoinProgress joinProgress() const;
    /** @return Whether callers' requests may be decided by the configuration of this node. */
    [[nodiscard]] bool isConfigurationUsable() const;
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] core::Duration timeSinceExternalContact() const;
    [[nodiscard]] core::Duration configurationAge() const;
    /** @return Whether the configuration is too old to deny a request. */
    [[nodiscard]] bool isConfigurationOld() const;
    [[nodiscard]] static core::TimePoint now()
    {
        return core::bootTime();
    }

    boost::asio::any_io_executor m_executor;
    Settings m_settings;
    Protocols m_protocols;
    core::RandomSource m_random;
    std::uint64_t m_bootId;
    core::TimePoint m_startedAt;
    std::atomic<bool> m_isStopping{false};
    /** When the announcements in the log were first read to their end. */
    std::atomic<core::TimePoint> m_announcementsReadAt{core::TimePoint::max()};
    std::atomic<bool> m_isRemotePullWaiting{false};
    std::atomic<bool> m_isAborting{false}; ///< The graceful stop has timed out.
    mutable std::mutex m_stopMutex;
    std::optional<StopSchedule> m_stopSchedule; ///< Set when a graceful stop begins.

    mutable std::mutex m_loopMutex;
    telemetry::LoopDelay m_loopDelay;
    telemetry::Metrics m_metrics;
    std::shared_ptr<telemetry::SpanBuffer> m_spans;
    std::shared_ptr<wire::TrafficMeter> m_traffic = std::make_shared<wire::TrafficMeter>();
    InFlightTable m_inFlight;
    EndpointViewCache m_endpointViews;
    wire::DatagramCodec m_datagrams;
    wire::PeerPool m_peers;
    std::unique_ptr<wire::PeerServer> m_peerServer; ///< Created by start() once a port is bound.
    std::unique_ptr<membership::MembershipService> m_membership; ///< Created by start() once its port is known.
    detail::Evacuations m_evacuations;
    eventlog::LogHooks m_log;
    config::ConfigService m_config;
    limit::LimitService m_limits;
    idempotency::IdempotencyService m_idempotency;
    LocalEndpoint m_endpoint;
    detail::HeartbeatGate m_heartbeatGate;
    detail::LeaveExchange m_leaveExchange;
    std::mutex m_coldMutex;
    std::optional<core::TimePoint> m_coldSince; ///< While the endpoint is cold, as last logged.
    /** Outlives the endpoints: a request that has ended one of them ends the next one too. */
    std::shared_ptr<admission::AdmissionHistory> m_admissionHistory;
    detail::QuarantineExchange m_quarantineExchange;
    mutable std::mutex m_admissionMutex;
    std::shared_ptr<admission::AdmissionService> m_admission; ///< Replaced whenever an endpoint starts.
    Dispatcher m_dispatcher;
    Entry m_entry;
    http::OperatorApi m_operatorApi;
    http::Server m_callerServer;
    http::Server m_endpointServer;
    http::Server m_operatorServer;
};

}
