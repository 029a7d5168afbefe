#include "berylspring/node/node.h"

#include "berylspring/telemetry/log.h"
#include "node/announcer.h"
#include "node/background.h"
#include "node/node_implementation.h"
#include "node/span_export.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::node {

namespace {

namespace asio = boost::asio;

constexpr int MaxFreePortAttempts = 10;

/** Increases with each start of the host unless its clock is set back between starts. */
std::uint64_t makeBootId()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
}

/** Interval at which a node that must confirm its configuration checks the age of the last confirmation. */
constexpr core::Duration ProofCheckInterval = std::chrono::milliseconds(300);
/** Time in which the final responses of aborted requests are written. */
constexpr core::Duration AbortTimeout = std::chrono::milliseconds(200);

config::ConfigSettings configSettings(const Settings &settings)
{
    config::ConfigSettings result{.longPoll = settings->logPoll,
                                  .proofRefresh = settings->proofRefresh,
                                  .proofFallback = settings->proofFallback,
                                  .isLogWritable = settings->protocolKind == ProtocolKind::Native,
                                  .snapshotInterval = settings->snapshotInterval};
    if (settings->proofFallback > core::Duration::zero()) {
        result.roleCheck = ProofCheckInterval;
    }
    return result;
}

http::ServerOptions serverOptions(const Settings &settings)
{
    return {.headerLimitBytes = settings->maxHeaderBytes, .bodyLimitBytes = settings->maxBodyBytes};
}

/**
 * The settings bound the memory use of a node; the configuration can only lower these limits. An old configuration does
 * not lower the sizes, because a request over them is denied for good and a newer one may allow it.
 */
http::ServerOptions callerOptions(const Settings &settings, const config::Catalogue &catalogue, bool isOld)
{
    http::ServerOptions options = serverOptions(settings);
    const config::RequestLimits *limits = catalogue.requestLimits();
    if (limits == nullptr) {
        return options;
    }
    if (!isOld) {
        options.headerLimitBytes = std::min(options.headerLimitBytes, (*limits)->maxHeaderBytes);
        options.bodyLimitBytes = std::min(options.bodyLimitBytes, (*limits)->maxBodyBytes);
    }
    options.headerTimeout = (*limits)->headerTimeout;
    options.idleTimeout = (*limits)->idleTimeout;
    return options;
}

}

Node::Implementation::Implementation(asio::any_io_executor executor, Settings settings, Protocols protocols)
    : m_executor(std::move(executor))
    , m_settings(std::move(settings))
    , m_protocols(std::move(protocols))
    , m_random(core::systemRandom())
    , m_bootId(makeBootId())
    , m_startedAt(now())
    , m_spans(std::make_shared<telemetry::SpanBuffer>())
    , m_inFlight(m_random)
    , m_datagrams(m_settings->secret, m_settings->host, m_bootId)
    , m_peers(m_executor,
              peerOptions(),
              [this](const core::HostId &host) -> std::optional<wire::PeerAddress> {
                  const auto member = m_membership->find(host);
                  return member ? std::optional<wire::PeerAddress>({member->address(), member->port()}) : std::nullopt;
              })
    , m_log(m_protocols.makeLog(m_executor, m_settings))
    , m_config(m_executor, configSettings(m_settings), configHooks())
    , m_limits(m_executor,
               {m_settings->host, m_settings->dataCentre, m_settings->dataCentres, m_settings->isFirstStart},
               limitHooks())
    , m_idempotency(
          m_executor,
          {.self = m_settings->host, .dataCentre = m_settings->dataCentre, .declared = m_settings->dataCentres},
          idempotencyHooks())
    , m_endpoint(
          m_executor, m_settings->maxBodyBytes, m_protocols, m_inFlight, m_random, spanSink(), localEndpointHooks())
    , m_heartbeatGate(m_settings->isFirstStart)
    , m_leaveExchange(m_executor, {m_settings->host, m_settings->isFirstStart}, leaveExchangeHooks())
    , m_admissionHistory(std::make_shared<admission::AdmissionHistory>(admission::AdmissionSettings()))
    , m_quarantineExchange(m_executor,
                           {m_settings->host, m_settings->isFirstStart},
                           std::shared_ptr<admission::Quarantine>(m_admissionHistory, &m_admissionHistory->quarantine),
                           quarantineExchangeHooks())
    , m_admission(makeAdmission())
    , m_dispatcher(m_settings->host,
                   m_settings->dataCentre,
                   m_settings->areControlsOn,
                   dispatcherHooks(),
                   {.policy = m_settings->routingPolicy})
    , m_entry(m_inFlight,
              m_metrics,
              {.sampleRatio = m_settings->sampleRatio,
               .roots = {.areControlsOn = m_settings->areControlsOn,
                         .returnTimes = m_settings->returnTimes,
                         .workspaceShares = m_settings->workspaceShares},
               .denialStaleness = m_settings->denialStaleness},
              entryHooks())
    , m_operatorApi(operatorHooks())
    , m_callerServer(
          m_executor,
          [this](http::Request request) { return handleCaller(std::move(request)); },
          [this] { return callerOptions(m_settings, *m_config.catalogue(), isConfigurationOld()); },
          [this](const http::RejectedRequest &request) { recordRejection(request); })
    , m_endpointServer(m_executor,
                       serverOptions(m_settings),
                       [this](http::Request request) { return handleEndpoint(std::move(request)); })
    , m_operatorServer(m_executor, serverOptions(m_settings), [this](http::Request request) {
        return handleOperator(std::move(request));
    })
{
    m_metrics.addSource([this] { return samples(); });
}

Result<NodePorts> Node::Implementation::start()
{
    const auto failed = [](const auto &error) { return tl::unexpected(Error(ErrorCode::StartFailed, error.detail())); };
    const Result<std::uint16_t> peerPort = startPeers();
    if (!peerPort) {
        return tl::unexpected(peerPort.error());
    }
    NodePorts ports;
    ports.peer = *peerPort;
    const auto caller = m_callerServer.listen(m_settings->address, m_settings->callerPort);
    const auto endpoint = m_endpointServer.listen(m_settings->address, m_settings->endpointPort);
    const auto operators = m_operatorServer.listen(m_settings->address, m_settings->operatorPort);
    for (const auto *bound : {&caller, &endpoint, &operators}) {
        if (!*bound) {
            return failed(bound->error());
        }
    }
    ports.caller = *caller;
    ports.endpoint = *endpoint;
    ports.operatorPort = *operators;
    m_config.start();
    m_limits.start();
    asio::co_spawn(m_executor, publishLoop(), detail::logFailure("publishing"));
    asio::co_spawn(m_executor, m_quarantineExchange.restore(), detail::logFailure("quarantine record"));
    m_leaveExchange.run();
    asio::co_spawn(m_executor,
                   detail::announceThroughLog(
                       {.log = m_log,
                        .self = [this] { return m_membership->self().record(); },
                        .addContact = [this](const wire::MemberUpdate &member) { m_membership->addContact(member); },
                        .onRead =
                            [this] {
                                auto unread = core::TimePoint::max();
                                m_announcementsReadAt.compare_exchange_strong(unread, now());
                            },
                        .lastLogContact = [this] { return m_config.lastLogContact(); },
                        .now = now,
                        .logGeneration = [this] { return m_config.logGeneration(); },
                        .isStopping = [this] { return m_isStopping.load(); }}),
                   detail::logFailure("announcer"));
    detail::startSpanExport(
        m_executor, {m_settings->host.value(), m_settings->otlpAddress, m_settings->spanFile}, m_spans);
    return ports;
}

Result<std::uint16_t> Node::Implementation::startPeers()
{
    // TCP and UDP use the same port number, and a port that is free for TCP may be in use for UDP.
    const int attempts = m_settings->peerPort == 0 ? MaxFreePortAttempts : 1;
    std::string detail;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        m_peerServer = std::make_unique<wire::PeerServer>(
            m_executor, peerOptions(), [this](core::HostId from, wire::Message message) {
                return handlePeer(std::move(from), std::move(message));
            });
        const auto port = m_peerServer->listen(m_settings->address, m_settings->peerPort);
        if (!port) {
            detail = port.error().detail();
            continue;
        }
        membership::MembershipSettings settings = membershipSettings();
        settings.port = *port;
        m_membership = std::make_unique<membership::MembershipService>(m_executor, settings, membershipHooks());
        const auto started = m_membership->start();
        if (started) {
            return *port;
        }
        detail = started.error().detail();
    }
    return tl::unexpected(Error(ErrorCode::StartFailed, detail));
}

asio::awaitable<void> Node::Implementation::stop()
{
    const StopSchedule schedule(now(), m_settings->stopLinger, m_settings->stopTimeout);
    {
        const std::scoped_lock lock(m_stopMutex);
        m_stopSchedule = schedule;
    }
    m_isStopping = true;
    telemetry::log(telemetry::Severity::Info, "stopping");
    drainEndpoint();
    co_await linger(schedule);
    using asio::experimental::awaitable_operators::operator||;
    asio::steady_timer deadline(co_await asio::this_coro::executor, schedule.abortAt() - now());
    const auto outcome = co_await (finishWork() || deadline.async_wait(asio::use_awaitable));
    const bool isFinished = outcome.index() == 0;
    if (!isFinished) {
        telemetry::log(telemetry::Severity::Error, "graceful stop timed out; aborting the remaining requests");
        co_await abortRequests();
    }
    // Without a handover this node must not leave but be declared dead, so that its claims are answered as unknown.
    if (isFinished && std::get<0>(outcome)) {
        co_await m_membership->leave();
    } else {
        telemetry::log(telemetry::Severity::Warning, "idempotency claims were not handed over");
    }
    m_config.stop();
    m_limits.stop();
    m_operatorServer.close();
    m_endpointServer.close();
    m_peerServer->close();
    m_peers.close();
    telemetry::log(telemetry::Severity::Info, "stopped");
}

asio::awaitable<void> Node::Implementation::linger(StopSchedule schedule)
{
    // Callers keep sending until they notice that the node is not ready; each response closes its connection.
    m_callerServer.closeAfterResponses();
    asio::steady_timer timer(co_await asio::this_coro::executor, schedule.lingerUntil() - now());
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> Node::Implementation::abortRequests()
{
    m_isAborting = true;
    m_callerServer.stopAccepting();
    m_callerServer.cancelRequests();
    using asio::experimental::awaitable_operators::operator||;
    asio::steady_timer timer(co_await asio::this_coro::executor, AbortTimeout);
    co_await (m_callerServer.waitUntilDrained() || timer.async_wait(asio::use_awaitable));
}

telemetry::LoopDelay Node::Implementation::loopDelay() const
{
    const std::scoped_lock lock(m_loopMutex);
    return m_loopDelay;
}

std::optional<StopSchedule> Node::Implementation::stopSchedule() const
{
    if (!m_isStopping) {
        return std::nullopt;
    }
    const std::scoped_lock lock(m_stopMutex);
    return m_stopSchedule;
}

asio::awaitable<bool> Node::Implementation::finishWork()
{
    // The caller port stays open until the endpoint is idle, because running requests make nested calls through it.
    co_await admission()->idle();
    m_callerServer.stopAccepting();
    co_await m_callerServer.waitUntilDrained();
    co_await m_limits.handOver();
    co_return co_await m_idempotency.handOver();
}

telemetry::SpanSink Node::Implementation::spanSink() const
{
    return [spans = m_spans](telemetry::Span span) { spans->add(std::move(span)); };
}

std::shared_ptr<admission::AdmissionService> Node::Implementation::admission() const
{
    const std::scoped_lock lock(m_admissionMutex);
    return m_admission;
}

std::shared_ptr<admission::AdmissionService> Node::Implementation::makeAdmission()
{
    const admission::AdmissionSettings settings{.areControlsOn = m_settings->areControlsOn,
                                                .drainStartWindow = m_settings->drainStartWindow};
    return std::make_shared<admission::AdmissionService>(m_executor, settings, admissionHooks(), m_admissionHistory);
}

Node::Node(asio::any_io_executor executor, Settings settings, Protocols protocols)
    : m_implementation(std::make_shared<Implementation>(std::move(executor), std::move(settings), std::move(protocols)))
{
}

Node::~Node() = default;

Result<NodePorts> Node::start()
{
    return m_implementation->start();
}

asio::awaitable<void> Node::stop()
{
    return m_implementation->stop();
}

}
