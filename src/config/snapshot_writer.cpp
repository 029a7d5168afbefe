#include "config/snapshot_writer.h"

#include <utility>

namespace berylspring::config::detail {

namespace asio = boost::asio;

namespace {

/** Keeps the backup writer's delay of half an interval accurate to an eighth of that delay. */
constexpr int ChecksPerInterval = 16;

}

asio::awaitable<core::Duration> SnapshotWriter::step(std::shared_ptr<SnapshotWriter> self)
{
    const ContextPtr context = self->m_context;
    const int rank = context->hooks().snapshotRank();
    const core::Duration pause = context->settings().snapshotInterval / ChecksPerInterval;
    if (rank < 0 || rank > 1 || !context->isReady()) {
        co_return std::min(pause, context->settings().roleCheck);
    }
    const bool isRead = co_await SnapshotReader::refresh(self->m_reader);
    if (!isRead) {
        co_return std::min(pause, context->jittered(context->settings().retryDelay * ChecksPerInterval));
    }
    const auto &newest = self->m_reader->newest();
    const auto offset = newest ? std::optional(newest->appliedOffset()) : std::nullopt;
    self->m_schedule = self->m_schedule.withNewest(offset, context->now());
    if (self->m_schedule.isDue(rank, context->now())) {
        co_await write(self);
    }
    co_return pause;
}

asio::awaitable<void> SnapshotWriter::write(std::shared_ptr<SnapshotWriter> self)
{
    const ContextPtr context = self->m_context;
    const auto catalogue = context->store().catalogue();
    const auto records = toSnapshotRecords(*catalogue, context->newOperationId());
    for (const std::string &record : records) {
        const auto appended = co_await context->hooks().log.append(context->settings().snapshotStream, record);
        if (!appended) {
            // Readers ignore the incomplete snapshot; the next check finds that one is still due.
            context->report("a snapshot could not be written: " + appended.error().detail());
            co_return;
        }
    }
}

}
