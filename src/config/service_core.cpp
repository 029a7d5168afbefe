#include "config/service_core.h"

#include <algorithm>
#include <utility>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace berylspring::config::detail {

namespace asio = boost::asio;

namespace {

constexpr unsigned MaxDoublings = 4;

/** Versions only grow, so a change that conflicts with the local catalogue is refused without an append. */
bool hasVersionConflict(const Catalogue &catalogue,
                        ResourceType type,
                        const std::string &name,
                        std::optional<core::Offset> expectedVersion)
{
    const auto current = catalogue.resource(type, name);
    return expectedVersion && current && current->version > *expectedVersion;
}

Error conflict()
{
    return {ErrorCode::Conflict, std::string(toString(VoidReason::VersionMismatch))};
}

}

ServiceCore::ServiceCore(asio::any_io_executor executor, ConfigSettings settings, ConfigHooks hooks)
    : m_context(std::make_shared<ServiceContext>(std::move(executor), std::move(settings), std::move(hooks)))
    , m_follower(std::make_shared<LogFollower>(m_context))
    , m_writer(std::make_shared<Writer>(m_context, m_follower))
    , m_peerSync(std::make_shared<PeerSync>(m_context))
    , m_withdrawals(std::make_shared<Withdrawals>(m_context, m_follower, m_writer))
    , m_slowPoll(m_context->jittered(m_context->settings().slowPoll))
{
}

void ServiceCore::start(const std::shared_ptr<ServiceCore> &self)
{
    self->startLoop([self] { return followStep(self); });
    if (!self->m_context->settings().isLogWritable) {
        return;
    }
    self->startLoop([withdrawals = self->m_withdrawals] { return Withdrawals::step(withdrawals); });
    const auto snapshots = std::make_shared<SnapshotWriter>(self->m_context);
    self->startLoop([snapshots] { return SnapshotWriter::step(snapshots); });
}

void ServiceCore::startLoop(Step step)
{
    const auto loop = std::make_shared<Loop>(asio::make_strand(m_context->executor()));
    m_loops.push_back(loop);
    asio::co_spawn(loop->strand,
                   runLoop(m_context, std::move(step)),
                   asio::bind_cancellation_slot(loop->signal.slot(), [loop](const std::exception_ptr &) {}));
}

void ServiceCore::stop()
{
    m_context->markStopped();
    for (const auto &loop : m_loops) {
        asio::post(loop->strand, [loop] { loop->signal.emit(asio::cancellation_type::terminal); });
    }
}

asio::awaitable<void> ServiceCore::runLoop(ContextPtr context, Step step)
{
    while (!context->isStopped()) {
        core::Duration pause = context->settings().retryDelay;
        try {
            pause = co_await step();
        } catch (const std::exception &error) {
            if (!context->isStopped()) {
                context->report(std::string("configuration service: ") + error.what());
            }
        }
        if (pause > core::Duration::zero() && !context->isStopped()) {
            co_await sleepFor(pause);
        }
    }
}

core::Duration ServiceCore::nextRetryDelay()
{
    const auto delay = m_context->settings().retryDelay * (1U << std::min(m_failures, MaxDoublings));
    ++m_failures;
    return m_context->jittered(delay);
}

asio::awaitable<void> ServiceCore::bootstrap(std::shared_ptr<ServiceCore> self)
{
    // Peers are asked first: they have the newest configuration even if the log is down, and this reduces its load.
    co_await PeerSync::pullFromAny(self->m_peerSync);
    if (self->m_context->store().appliedOffset() == 0) {
        co_await LogFollower::loadSnapshot(self->m_follower);
    }
}

asio::awaitable<bool> ServiceCore::refreshProof(std::shared_ptr<ServiceCore> self)
{
    const ContextPtr context = self->m_context;
    const ConfigSettings &settings = context->settings();
    if (context->proofAge(context->now()) < settings.proofRefresh) {
        co_return true;
    }
    const auto reader = context->hooks().reader ? context->hooks().reader() : std::nullopt;
    if (!reader) {
        co_return false;
    }
    const bool hasAnswered = co_await PeerSync::refreshFrom(self->m_peerSync, *reader);
    co_return hasAnswered && context->proofAge(context->now()) < settings.proofFallback;
}

asio::awaitable<core::Duration> ServiceCore::followStep(std::shared_ptr<ServiceCore> self)
{
    const ContextPtr context = self->m_context;
    const ConfigSettings &settings = context->settings();
    if (context->store().appliedOffset() == 0) {
        co_await bootstrap(self);
    }
    const bool mustProve = settings.proofFallback > core::Duration::zero();
    const bool isReader = context->hooks().isReader();
    bool isProofOld = false;
    if (mustProve && !isReader && context->isReady()) {
        const bool isProven = co_await refreshProof(self);
        isProofOld = !isProven;
    }
    const core::TimePoint start = context->now();
    const bool isFollowing = isReader || !context->isReady() || isProofOld;
    const auto lastContact = context->lastContact();
    if (mustProve && !isFollowing) {
        co_return settings.roleCheck;
    }
    if (!isFollowing && lastContact && start - *lastContact < self->m_slowPoll) {
        co_return settings.roleCheck;
    }
    const core::Duration wait = isFollowing && !isProofOld ? settings.longPoll : core::Duration::zero();
    const SyncState state = co_await LogFollower::sync(self->m_follower, wait);
    if (state == SyncState::Advanced) {
        self->m_failures = 0;
        co_return core::Duration::zero();
    }
    if (state == SyncState::UpToDate) {
        self->m_failures = 0;
        // Without a pause, a log that answers at once instead of holding the long poll would be polled in a busy loop.
        const bool hasWaited = wait > core::Duration::zero() && context->now() - start >= wait / 4;
        co_return isFollowing &&hasWaited ? core::Duration::zero() : settings.retryDelay;
    }
    if (state != SyncState::Failed || !context->isReady() || mustProve) {
        co_await PeerSync::pullFromAny(self->m_peerSync);
    }
    // A new proof is needed before the last one gets too old, so there is no exponential backoff.
    co_return mustProve ? context->jittered(settings.retryDelay) : self->nextRetryDelay();
}

asio::awaitable<Result<WriteOutcome>> ServiceCore::put(std::shared_ptr<ServiceCore> self,
                                                       ResourceType type,
                                                       std::string name,
                                                       std::string json,
                                                       std::optional<core::Offset> expectedVersion)
{
    const auto resource = parseResource(type, name, json);
    if (!resource) {
        co_return tl::unexpected(resource.error());
    }
    const auto catalogue = self->m_context->store().catalogue();
    if (hasVersionConflict(*catalogue, type, name, expectedVersion)) {
        co_return tl::unexpected(conflict());
    }
    const auto *key = std::get_if<Key>(&*resource);
    if (key != nullptr && self->m_withdrawals->contains((*key)->digest)) {
        co_return tl::unexpected(Error(ErrorCode::Conflict, std::string(toString(VoidReason::DigestWithdrawn))));
    }
    const LogRecord record({self->m_context->newOperationId(),
                            RecordKind::Put,
                            type,
                            std::move(name),
                            expectedVersion,
                            toJson(*resource)});
    co_return co_await Writer::submit(self->m_writer, record);
}

asio::awaitable<Result<WriteOutcome>> ServiceCore::remove(std::shared_ptr<ServiceCore> self,
                                                          ResourceType type,
                                                          std::string name,
                                                          std::optional<core::Offset> expectedVersion)
{
    if (type == ResourceType::Key) {
        co_return co_await withdraw(self, std::move(name), expectedVersion);
    }
    if (hasVersionConflict(*self->m_context->store().catalogue(), type, name, expectedVersion)) {
        co_return tl::unexpected(conflict());
    }
    if (!core::isValidName(name)) {
        co_return tl::unexpected(Error(ErrorCode::NotFound, std::string(toString(VoidReason::NotFound))));
    }
    const LogRecord record(
        {self->m_context->newOperationId(), RecordKind::Delete, type, std::move(name), expectedVersion, {}});
    co_return co_await Writer::submit(self->m_writer, record);
}

asio::awaitable<Result<WriteOutcome>>
ServiceCore::withdraw(std::shared_ptr<ServiceCore> self, std::string name, std::optional<core::Offset> expectedVersion)
{
    const ContextPtr context = self->m_context;
    if (context->store().catalogue()->findKeyNamed(name) == nullptr) {
        // The catalogue of this node may be behind the log.
        co_await LogFollower::sync(self->m_follower, core::Duration::zero());
    }
    const auto catalogue = context->store().catalogue();
    const Key *key = catalogue->findKeyNamed(name);
    if (key == nullptr && !context->isReady()) {
        co_return tl::unexpected(Error::unavailable("this node has no configuration yet", false));
    }
    if (key == nullptr) {
        co_return tl::unexpected(Error(ErrorCode::NotFound, std::string(toString(VoidReason::NotFound))));
    }
    if (expectedVersion && *expectedVersion != catalogue->resource(ResourceType::Key, name)->version) {
        co_return tl::unexpected(conflict());
    }
    co_return co_await Withdrawals::withdraw(self->m_withdrawals, (*key)->name, (*key)->digest);
}

asio::awaitable<wire::Message>
ServiceCore::handle(std::shared_ptr<ServiceCore> self, core::HostId from, wire::Message message)
{
    if (const auto *tombstone = std::get_if<wire::Tombstone>(&message)) {
        self->m_withdrawals->accept(from, *tombstone);
        co_return wire::Message(wire::Ack());
    }
    const auto *pull = std::get_if<wire::RecordPull>(&message);
    if (pull == nullptr) {
        co_return wire::Message(wire::Refused(wire::RefusedFields{"not a message about configuration"}));
    }
    if (!self->m_context->isReady()) {
        co_return wire::Message(wire::Refused(wire::RefusedFields{"no configuration yet"}));
    }
    Withdrawals::sendPending(self->m_withdrawals, from);
    // Read before the records, so that the records include everything that the proof covers.
    const auto provenAt = self->m_context->provenAt();
    const core::Offset applied = self->m_context->store().appliedOffset();
    wire::RecordBatch batch = self->m_context->store().batchFrom((*pull)->from, (*pull)->limit);
    // A batch that ends before the last record proves nothing to a node that has only its records.
    if (provenAt && batch->next >= applied) {
        const std::optional<core::Duration> age = self->m_context->now() - *provenAt;
        batch = batch.with(&wire::RecordBatchFields::proofAge, age);
    }
    co_return wire::Message(std::move(batch));
}

}
