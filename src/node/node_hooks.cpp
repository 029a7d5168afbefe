#include "node/background.h"
#include "node/leave_holders.h"
#include "node/node_implementation.h"

#include "berylspring/core/rendezvous.h"
#include "berylspring/node/cold_rule.h"
#include "berylspring/node/limit_in_force.h"
#include "berylspring/telemetry/log.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::node {

namespace {

namespace asio = boost::asio;

/** A reader or a peer of the own data centre usually brings the same records within this time. */
constexpr core::Duration RemotePullDelay = std::chrono::milliseconds(200);
/** Generation of a log that has never been restored. */
constexpr std::uint64_t FirstLogGeneration = 1;

/** Rendezvous hashing key that selects the log readers among the hosts of a data centre. */
constexpr std::string_view ReaderKey = "log-reader";

std::size_t rendezvousRank(const core::HostId &host, std::string_view key, std::vector<core::HostId> hosts)
{
    const std::vector<core::HostId> order = core::rendezvousOrder(key, std::move(hosts));
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), host) - order.begin());
}

membership::PeerAddress seedAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    }
    return {.address = text.substr(0, colon), .port = port};
}

}

wire::PeerOptions Node::Implementation::peerOptions() const
{
    return {.self = m_settings->host,
            .bootId = m_bootId,
            .secret = m_settings->secret,
            .dataCentre = m_settings->dataCentre.value(),
            .dictionary = wire::makeDictionary(m_protocols.typicalMessages),
            .maxFrameBytes = m_settings->maxFrameBytes,
            .traffic = m_traffic};
}

membership::MembershipSettings Node::Implementation::membershipSettings() const
{
    membership::MembershipSettings settings{
        .host = m_settings->host, .dataCentre = m_settings->dataCentre, .address = m_settings->address};
    for (const std::string &seed : m_settings->seeds) {
        settings.seeds.push_back(seedAddress(seed));
    }
    return settings;
}

membership::MembershipHooks Node::Implementation::membershipHooks()
{
    using OpenResult = wire::Result<std::pair<core::HostId, wire::Datagram>>;
    membership::MembershipHooks hooks;
    hooks.seal = [this](const wire::Datagram &datagram) { return m_datagrams.seal(datagram); };
    hooks.open = [this](std::string_view bytes) -> OpenResult {
        auto opened = m_datagrams.open(bytes);
        if (!opened) {
            return tl::unexpected(opened.error());
        }
        m_peers.closeOutdatedConnections(opened->sender, opened->bootId);
        return std::pair(opened->sender, std::move(opened->datagram));
    };
    hooks.random = m_random;
    hooks.now = now;
    hooks.sent = [this](bool isRemote, std::size_t bytes) {
        m_traffic->record(wire::TrafficClass::Membership, isRemote, bytes);
    };
    hooks.offsetReported = [this](const core::HostId &host, core::Offset offset) {
        if (offset <= m_config.catalogue()->appliedOffset()) {
            return;
        }
        const auto member = m_membership->find(host);
        const bool isLocal = member && member->dataCentre() == m_settings->dataCentre;
        asio::co_spawn(m_executor,
                       isLocal ? m_config.pullFrom(host, offset) : pullFromElsewhere(host, offset),
                       detail::logFailure("pull of records"));
    };
    hooks.changed = [](const membership::Member &member) {
        telemetry::log(telemetry::Severity::Debug,
                       "member changed",
                       {{"member", member.host().value()},
                        {"data_centre", member.dataCentre().value()},
                        {"state", static_cast<std::int64_t>(member.state())}});
    };
    return hooks;
}

asio::awaitable<void> Node::Implementation::pullFromElsewhere(core::HostId host, core::Offset offset)
{
    if (m_isRemotePullWaiting.exchange(true)) {
        co_return; // Reported offsets are repeated.
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, RemotePullDelay);
    co_await timer.async_wait(asio::use_awaitable);
    m_isRemotePullWaiting = false;
    if (offset > m_config.catalogue()->appliedOffset()) {
        co_await m_config.pullFrom(std::move(host), offset);
    }
}

config::ConfigHooks Node::Implementation::configHooks()
{
    config::ConfigHooks hooks;
    hooks.log = m_log;
    hooks.call = m_peers.asPeerCall();
    hooks.now = now;
    hooks.random = m_random;
    hooks.isReader = [this] {
        const std::vector<core::HostId> hosts = liveHosts(m_settings->dataCentre);
        return rendezvousRank(m_settings->host, ReaderKey, hosts) < m_settings->readersPerDataCentre;
    };
    hooks.reader = [this]() -> std::optional<core::HostId> {
        const core::HostId first = core::rendezvousFirst(ReaderKey, liveHosts(m_settings->dataCentre));
        return first.isEmpty() || first == m_settings->host ? std::nullopt : std::optional(first);
    };
    hooks.snapshotRank = [this] {
        const std::shared_ptr<const membership::MemberSnapshot> members = m_membership->snapshot();
        std::vector<core::HostId> hosts;
        for (const membership::Member &member : members->liveMembers()) {
            hosts.push_back(member.host());
        }
        const std::size_t rank = rendezvousRank(m_settings->host, "snapshot", std::move(hosts));
        return rank < 2 ? static_cast<int>(rank) : -1;
    };
    hooks.peers = [this] {
        const std::shared_ptr<const membership::MemberSnapshot> members = m_membership->snapshot();
        std::vector<core::HostId> hosts;
        for (const membership::Member &member : members->liveMembers()) {
            if (member.host() != m_settings->host) {
                hosts.push_back(member.host());
            }
        }
        return hosts;
    };
    hooks.applied = [this](core::Offset offset) {
        // Before the offset is reported, so that a change is in force on the nodes that report it.
        applyEvacuations();
        m_membership->setAppliedOffset(offset);
    };
    hooks.notify = [this] { m_membership->sendOffsetNotice(); };
    hooks.report = [](const std::string &text) { telemetry::log(telemetry::Severity::Warning, text); };
    return hooks;
}

LimitSettings Node::Implementation::limitSettings() const
{
    return {.areControlsOn = m_settings->areControlsOn, .burstTolerance = m_settings->burstTolerance};
}

limit::LimitHooks Node::Implementation::limitHooks()
{
    limit::LimitHooks hooks;
    hooks.call = m_peers.asPeerCall();
    hooks.liveHosts = [this](const core::DataCentreId &dataCentre) { return claimHosts(dataCentre); };
    hooks.limitOf = [this](const core::WorkspaceId &workspace) {
        return limitInForce(*m_config.catalogue(), workspace, limitSettings());
    };
    hooks.limitedWorkspaces = [this] {
        std::vector<core::WorkspaceId> names;
        for (const config::ResourceView &workspace : m_config.catalogue()->list(config::ResourceType::Workspace)) {
            names.emplace_back(workspace.name);
        }
        return names;
    };
    hooks.now = now;
    hooks.lastPeerAck = [this] { return m_membership->lastPeerAck(); };
    hooks.resumeCount = [this] { return m_membership->resumeCount(); };
    hooks.random = m_random;
    return hooks;
}

idempotency::IdempotencyHooks Node::Implementation::idempotencyHooks()
{
    idempotency::IdempotencyHooks hooks;
    hooks.call = m_peers.asPeerCall();
    hooks.liveHosts = [this](const core::DataCentreId &dataCentre) { return claimHosts(dataCentre); };
    hooks.recentHosts = [this](const core::DataCentreId &dataCentre) {
        return m_membership->snapshot()->recentHosts(dataCentre);
    };
    hooks.dispatch = [this](wire::CallRequest call) { return m_dispatcher.dispatch(std::move(call)); };
    hooks.now = now;
    hooks.random = m_random;
    return hooks;
}

double Node::Implementation::weightOf(const core::WorkspaceId &name) const
{
    const std::shared_ptr<const config::Catalogue> catalogue = m_config.catalogue();
    const config::Workspace *workspace = catalogue->findWorkspace(name);
    return workspace == nullptr ? 1.0 : (*workspace)->weight;
}

admission::AdmissionHooks Node::Implementation::admissionHooks()
{
    admission::AdmissionHooks hooks;
    hooks.endpointCall = [this](wire::CallRequest call) { return m_endpoint.call(std::move(call)); };
    hooks.now = now;
    hooks.random = m_random;
    hooks.isKeyWithdrawn = [this](const core::Digest &digest) { return m_config.isKeyWithdrawn(digest); };
    hooks.weightOf = [this](const core::WorkspaceId &name) { return weightOf(name); };
    hooks.nestedInFlight = [this] { return m_entry.nestedInFlight(); };
    hooks.crashed = [this](const admission::CrashReport &report) { m_quarantineExchange.report(report, now()); };
    return hooks;
}

LocalEndpointHooks Node::Implementation::localEndpointHooks()
{
    LocalEndpointHooks hooks;
    hooks.coldRule = [this](const core::ServiceId &service) {
        const std::shared_ptr<const config::Catalogue> catalogue = m_config.catalogue();
        return coldRule(catalogue->findService(service), m_settings->bounds);
    };
    hooks.coldChanged = [this] { updateCold(); };
    return hooks;
}

detail::QuarantineExchangeHooks Node::Implementation::quarantineExchangeHooks()
{
    detail::QuarantineExchangeHooks hooks;
    hooks.log = m_log;
    hooks.send = [this](core::HostId host, wire::QuarantineNotice notice) {
        return sendNotice(std::move(host), notice);
    };
    hooks.receivers = [this](const core::ServiceId &service) {
        std::vector<admission::NoticeReceiver> receivers;
        const std::shared_ptr<const membership::MemberSnapshot> members = m_membership->snapshot();
        for (const membership::Member &member : members->providers(service)) {
            if (member.host() != m_settings->host) {
                receivers.push_back({member.host(), member.incarnation()});
            }
        }
        return receivers;
    };
    hooks.logGeneration = [this] { return m_config.logGeneration(); };
    hooks.now = now;
    hooks.wallTime = [] { return std::chrono::system_clock::now(); };
    hooks.isStopping = [this] { return m_isStopping.load(); };
    return hooks;
}

detail::LeaveExchangeHooks Node::Implementation::leaveExchangeHooks()
{
    const auto peers = [this](detail::HolderCounts counts) {
        return detail::leaveHolders(*m_membership->snapshot(), m_membership->self(), counts);
    };
    detail::LeaveExchangeHooks hooks;
    hooks.log = m_log;
    hooks.call = m_peers.asPeerCall();
    hooks.leaves = [this] { return m_endpoint.leaves(); };
    hooks.restored = [this](const EndpointLeaves &earlier) {
        if (m_endpoint.restoreLeaves(earlier)) {
            drainEndpoint();
        }
    };
    hooks.heartbeatsAllowed = [this] {
        for (const detail::HeldHeartbeat &held : m_heartbeatGate.open()) {
            applyHeartbeat(held.heartbeat, held.receivedAt);
        }
    };
    hooks.holders = [peers] { return peers(detail::LeaveHolders); };
    hooks.witnesses = [peers] { return peers(detail::LeaveWitnesses); };
    hooks.knowsPeers = [this] { return knowsDataCentre(joinProgress(), now()); };
    hooks.logGeneration = [this] { return m_config.logGeneration(); };
    hooks.now = now;
    hooks.isStopping = [this] { return m_isStopping.load(); };
    return hooks;
}

DispatcherHooks Node::Implementation::dispatcherHooks()
{
    DispatcherHooks hooks;
    hooks.call = m_peers.asPeerCall();
    hooks.runLocally = [this](wire::CallRequest call) { return runAdmitted(std::move(call)); };
    hooks.endpoints = [this](const core::ServiceId &service) {
        return m_endpointViews.views(service, m_membership->snapshot());
    };
    hooks.evacuatedDataCentres = [this] {
        // Requests see a new catalogue shortly before its offset is reported, above all on a node that has just
        // started.
        if (m_evacuations.isBehind(m_config.catalogue()->appliedOffset())) {
            applyEvacuations();
        }
        return m_evacuations.dataCentres();
    };
    hooks.liveNodes = [this] { return m_membership->snapshot()->liveMembers().size(); };
    hooks.now = now;
    hooks.random = m_random;
    hooks.retried = [this] { m_metrics.countRetry(); };
    if (const auto excess = m_settings->bounds->retryExcess) {
        hooks.retryBounds = [this, excess] {
            const bool knowsFleet = knowsDataCentre(joinProgress(), now());
            return retry::budgetBounds(excess, knowsFleet ? m_membership->snapshot()->liveMembers().size() : 0);
        };
    }
    hooks.policyChanged = [](const core::ServiceId &service, bool isByCost) {
        telemetry::log(telemetry::Severity::Info,
                       isByCost ? "routing by cost" : "routing by load",
                       {{"service", service.value()}});
    };
    hooks.spans = spanSink();
    return hooks;
}

EntryHooks Node::Implementation::entryHooks()
{
    EntryHooks hooks;
    hooks.catalogue = [this] { return isConfigurationUsable() ? m_config.catalogue() : nullptr; };
    hooks.isKeyWithdrawn = [this](const core::Digest &digest) { return m_config.isKeyWithdrawn(digest); };
    hooks.configurationAge = [this] { return configurationAge(); };
    hooks.stopSchedule = [this] { return stopSchedule(); };
    hooks.admit = [this](core::WorkspaceId workspace) {
        return m_limits.admit(std::move(workspace), m_settings->maxLimitHold);
    };
    hooks.dispatch = [this](wire::CallRequest call) { return m_dispatcher.dispatch(std::move(call)); };
    hooks.runOnce = [this](wire::CallRequest call) { return m_idempotency.run(std::move(call)); };
    hooks.roots.costOf = [this](const CallPlan &plan, std::string_view method) {
        return m_dispatcher.expectedCost(plan->service, plan->route, method);
    };
    hooks.roots.weightOf = [this](const core::WorkspaceId &name) { return weightOf(name); };
    hooks.now = now;
    hooks.random = m_random;
    hooks.spans = spanSink();
    return hooks;
}

http::OperatorHooks Node::Implementation::operatorHooks()
{
    http::OperatorHooks hooks;
    hooks.tokenDigest = m_settings->operatorTokenDigest;
    hooks.catalogue = [this] { return m_config.catalogue(); };
    hooks.put =
        [this](config::ResourceType type, std::string name, std::string json, std::optional<core::Offset> expected) {
            return m_config.put(type, std::move(name), std::move(json), expected);
        };
    hooks.remove = [this](config::ResourceType type, std::string name, std::optional<core::Offset> expected) {
        return m_config.remove(type, std::move(name), expected);
    };
    hooks.changes = [this](core::Offset from) { return changes(from); };
    hooks.nodes = [this] { return nodeStatus(); };
    hooks.isDeclared = [this](const core::DataCentreId &dataCentre) { return isDeclared(dataCentre); };
    hooks.explain = [explained = explainHooks()](const http::ExplainQuestion &question) {
        return explainRequest(question, explained, now());
    };
    hooks.queryAppliedOffsets = [this](core::Offset change) { refreshMembers(change); };
    hooks.metrics = [this] { return m_metrics.text(); };
    hooks.isReady = [this] { return isReady(); };
    return hooks;
}

ExplainHooks Node::Implementation::explainHooks()
{
    ExplainHooks hooks;
    hooks.catalogue = [this] { return isConfigurationUsable() ? m_config.catalogue() : nullptr; };
    hooks.isDeclared = [this](const core::DataCentreId &dataCentre) { return isDeclared(dataCentre); };
    hooks.limitSettings = [this] { return limitSettings(); };
    hooks.shedShare = [this](const CallPlan &plan, const std::string &method, core::TimePoint time) {
        return m_entry.rootControl().shedShare(plan, method, time);
    };
    hooks.route = [this](const wire::CallRequest &call,
                         const std::optional<core::DataCentreId> &dataCentre,
                         core::TimePoint time) {
        return m_dispatcher.explain(call, dataCentre.value_or(m_settings->dataCentre), time);
    };
    return hooks;
}

bool Node::Implementation::isDeclared(const core::DataCentreId &dataCentre) const
{
    const std::vector<core::DataCentreId> &declared = m_settings->dataCentres;
    return std::find(declared.begin(), declared.end(), dataCentre) != declared.end();
}

std::vector<core::HostId> Node::Implementation::liveHosts(const core::DataCentreId &dataCentre) const
{
    return m_membership->snapshot()->liveHosts(dataCentre);
}

/** Hosts that may own buckets and claims. A node owns none before it knows the other members, nor while it stops. */
std::vector<core::HostId> Node::Implementation::claimHosts(const core::DataCentreId &dataCentre) const
{
    std::vector<core::HostId> hosts = liveHosts(dataCentre);
    if (m_isStopping || !knowsDataCentre(joinProgress(), now())) {
        std::erase(hosts, m_settings->host);
    }
    return hosts;
}

JoinProgress Node::Implementation::joinProgress() const
{
    const core::TimePoint readAt = m_announcementsReadAt;
    return JoinProgress({.startedAt = m_startedAt,
                         .announcementsReadAt = readAt == core::TimePoint::max() ? std::nullopt : std::optional(readAt),
                         .firstContactAt = m_membership->firstPeerAck()});
}

bool Node::Implementation::isConfigurationUsable() const
{
    // Other members may have a newer configuration than a log that was restored from a copy.
    const bool mayLogBeBehind = m_config.logGeneration() > FirstLogGeneration;
    return m_config.isReady() && (!mayLogBeBehind || hasJoined(joinProgress(), now()));
}

bool Node::Implementation::isReady() const
{
    return m_config.isReady() && hasJoined(joinProgress(), now()) && !m_isStopping;
}

core::Duration Node::Implementation::configurationAge() const
{
    if (m_settings->proofFallback == core::Duration::zero()) {
        return timeSinceExternalContact();
    }
    const auto provenAt = m_config.provenAt();
    return provenAt ? now() - *provenAt : core::Duration::max();
}

bool Node::Implementation::isConfigurationOld() const
{
    const core::Duration limit = m_settings->denialStaleness;
    return limit > core::Duration::zero() && configurationAge() > limit;
}

core::Duration Node::Implementation::timeSinceExternalContact() const
{
    core::TimePoint last = m_startedAt;
    if (const auto log = m_config.lastLogContact()) {
        last = std::max(last, *log);
    }
    if (const auto other = m_membership->lastContactWithOtherDataCentre()) {
        last = std::max(last, *other);
    }
    return now() - last;
}

}
