#include "config/peer_sync.h"

#include <limits>
#include <utility>

namespace berylspring::config::detail {

namespace asio = boost::asio;

bool PeerSync::tryStart(const Target &target)
{
    const std::scoped_lock lock(m_mutex);
    if (!m_isRunning) {
        m_isRunning = true;
        return true;
    }
    if (!m_next || target.offset > m_next->offset) {
        m_next = target;
    }
    return false;
}

std::optional<PeerSync::Target> PeerSync::takeNext()
{
    const std::scoped_lock lock(m_mutex);
    m_isRunning = m_next.has_value();
    return std::exchange(m_next, std::nullopt);
}

asio::awaitable<void> PeerSync::pull(std::shared_ptr<PeerSync> self, core::HostId peer, core::Offset offset)
{
    std::optional<Target> target = Target{std::move(peer), offset};
    if (!self->tryStart(*target)) {
        co_return;
    }
    std::exception_ptr failure;
    while (target) {
        try {
            co_await run(self, *target);
        } catch (...) {
            failure = std::current_exception();
        }
        target = self->takeNext();
        if (failure && target) {
            // A cancelled coroutine cannot run the next pull. It is requested again with the next reported offset.
            target = self->takeNext();
        }
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
}

asio::awaitable<void> PeerSync::pullFromAny(std::shared_ptr<PeerSync> self)
{
    const auto peers = self->m_context->hooks().peers();
    if (peers.empty()) {
        co_return;
    }
    const core::HostId &peer = peers[self->m_context->hooks().random() % peers.size()];
    co_await pull(self, peer, std::numeric_limits<core::Offset>::max());
}

asio::awaitable<bool> PeerSync::refreshFrom(std::shared_ptr<PeerSync> self, core::HostId peer)
{
    const PullResult pulled = co_await pullOnce(self, std::move(peer), self->m_context->settings().proofTimeout);
    co_return pulled != PullResult::Failed;
}

asio::awaitable<void> PeerSync::run(std::shared_ptr<PeerSync> self, Target target)
{
    while (self->m_context->store().appliedOffset() < target.offset) {
        const PullResult pulled = co_await pullOnce(self, target.peer, self->m_context->settings().peerTimeout);
        if (pulled == PullResult::Failed) {
            co_return;
        }
        if (pulled == PullResult::NothingNew) {
            break;
        }
    }
    self->m_context->markUpToDate();
}

asio::awaitable<PeerSync::PullResult>
PeerSync::pullOnce(std::shared_ptr<PeerSync> self, core::HostId peer, core::Duration timeout)
{
    const ContextPtr context = self->m_context;
    const core::Offset from = context->store().appliedOffset();
    const wire::RecordPullFields fields{from, context->settings().pageRecords};
    wire::Message message = wire::RecordPull(fields);
    const core::TimePoint askedAt = context->now();
    const auto answer = co_await context->hooks().call(peer, std::move(message), timeout);
    if (!answer) {
        co_return PullResult::Failed;
    }
    const auto *batch = std::get_if<wire::RecordBatch>(&*answer);
    co_return batch == nullptr ? PullResult::Failed : self->applyBatch(from, *batch, askedAt);
}

PeerSync::PullResult PeerSync::applyBatch(core::Offset from, const wire::RecordBatch &batch, core::TimePoint askedAt)
{
    StoreChange change;
    if (batch->snapshot) {
        auto catalogue = Catalogue::fromJson(*batch->snapshot);
        if (!catalogue) {
            m_context->report("the catalogue received from a peer is malformed: " + catalogue.error().detail());
            return PullResult::Failed;
        }
        change = m_context->store().replace(std::move(*catalogue));
    } else {
        change = m_context->store().fold(from, batch->records);
    }
    if (batch->proofAge && m_context->store().appliedOffset() >= batch->next) {
        // The peer computed the age after the request was sent, so subtracting it from that time never makes the
        // proof newer than it is.
        m_context->recordProof(askedAt - *batch->proofAge);
    }
    m_context->notifyChange(change);
    return change.hasAdvanced ? PullResult::Advanced : PullResult::NothingNew;
}

}
