#include "config/log_follower.h"

#include "berylspring/config/log_record.h"

#include <algorithm>
#include <utility>

namespace berylspring::config::detail {

namespace asio = boost::asio;

namespace {

/** A snapshot record has up to 256 KiB, so this limits a page to 4 MiB. */
constexpr std::uint32_t SnapshotPageRecords = 16;

/**
 * @return Whether both texts are the same operation. A node with other settings or of another release may encode it
 * differently, and its record reaches this node from a peer.
 */
bool isSameOperation(const std::string &left, const std::string &right)
{
    if (left == right) {
        return true;
    }
    const auto leftRecord = parseLogRecord(left);
    const auto rightRecord = parseLogRecord(right);
    return leftRecord && rightRecord && (*leftRecord)->operationId == (*rightRecord)->operationId;
}

/**
 * @return Whether the log has a record before the offset but leaves it out of the page, so that there is nothing to
 * compare with: it keeps only later ones, or the record cannot be read.
 */
bool omitsRecordBefore(core::Offset offset, const eventlog::LogPage &page)
{
    return page->records.empty() ? page->next >= offset : page->records.front().offset >= offset;
}

}

asio::awaitable<bool> SnapshotReader::refresh(std::shared_ptr<SnapshotReader> self)
{
    const ContextPtr context = self->m_context;
    for (;;) {
        auto page = co_await context->hooks().log.read(
            context->settings().snapshotStream, self->m_next, SnapshotPageRecords, core::Duration::zero());
        if (!page && page.error().code() == eventlog::ErrorCode::Expired
            && page.error().first().value_or(0) > self->m_next) {
            self->m_next = *page.error().first();
            continue;
        }
        if (!page) {
            co_return false;
        }
        for (const eventlog::LogEntry &entry : (*page)->records) {
            self->m_assembler.add(entry.data);
            self->m_next = entry.offset + 1;
        }
        if ((*page)->records.empty()) {
            co_return true;
        }
    }
}

asio::awaitable<SyncState> LogFollower::sync(std::shared_ptr<LogFollower> self, core::Duration wait)
{
    const ContextPtr context = self->m_context;
    const core::Offset from = context->store().appliedOffset();
    if (self->m_mustCheckContinuity) {
        const SyncState state = co_await checkContinuity(self, from);
        if (state != SyncState::UpToDate) {
            co_return state;
        }
        self->m_mustCheckContinuity = false;
    }
    const core::TimePoint sentAt = context->now();
    const auto page = co_await context->hooks().log.read(
        context->settings().configStream, from, context->settings().pageRecords, wait);
    if (page) {
        context->recordLogContact();
        co_return self->foldPage(from, *page, sentAt);
    }
    if (page.error().code() == eventlog::ErrorCode::Expired) {
        context->recordLogContact();
        co_return co_await onExpired(self);
    }
    // The log may have lost its records when it becomes available again.
    self->m_mustCheckContinuity = true;
    self->reportOnce(SyncState::Failed, "the configuration log cannot be read: " + page.error().detail());
    co_return SyncState::Failed;
}

SyncState LogFollower::foldPage(core::Offset from, const eventlog::LogPage &page, core::TimePoint sentAt)
{
    m_context->recordLogGeneration(page->generation);
    // A page before the end may lack what this node already has from a peer.
    const bool isShort = page->records.empty() && page->next < from && page->reachesEnd.value_or(true);
    const SyncState state = isShort ? onShortLog(from, page) : SyncState::UpToDate;
    if (state == SyncState::Diverged) {
        m_mustCheckContinuity = true;
        return state;
    }
    if (!isShort) {
        recordEnd({page->generation, page->next});
    }
    std::vector<wire::LogEntry> entries;
    entries.reserve(page->records.size());
    for (const eventlog::LogEntry &entry : page->records) {
        entries.push_back({entry.offset, entry.data});
    }
    const bool isLast = page->reachesEnd.value_or(entries.size() < m_context->settings().pageRecords);
    const StoreChange change = m_context->store().fold(from, std::move(entries));
    if (isLast) {
        m_context->markUpToDate();
        // The end of the log was read after the request was sent. The time of the response would be too late, because
        // the response may have been delayed.
        m_context->recordProof(sentAt);
    }
    m_context->notifyChange(change);
    if (!isShort) {
        m_reported = SyncState::UpToDate;
    }
    return change.hasAdvanced ? SyncState::Advanced : SyncState::UpToDate;
}

asio::awaitable<SyncState> LogFollower::onExpired(std::shared_ptr<LogFollower> self)
{
    const bool isLoaded = co_await loadSnapshot(self);
    if (isLoaded) {
        co_return SyncState::Advanced;
    }
    self->reportOnce(SyncState::Gap, "records of the configuration log have expired and no snapshot covers them");
    co_return SyncState::Gap;
}

asio::awaitable<bool> LogFollower::loadSnapshot(std::shared_ptr<LogFollower> self)
{
    const ContextPtr context = self->m_context;
    const auto reader = std::make_shared<SnapshotReader>(context);
    const bool isRead = co_await SnapshotReader::refresh(reader);
    if (!isRead || !reader->newest()) {
        co_return false;
    }
    const StoreChange change = context->store().replace(*reader->newest());
    context->notifyChange(change);
    co_return change.hasAdvanced;
}

asio::awaitable<SyncState> LogFollower::checkContinuity(std::shared_ptr<LogFollower> self, core::Offset from)
{
    const ContextPtr context = self->m_context;
    const auto known = from > 0 ? context->store().recordAt(from - 1) : std::nullopt;
    if (!known) {
        // There is no record to compare with after a snapshot was loaded; foldPage() still checks the end of the log.
        co_return SyncState::UpToDate;
    }
    const auto page =
        co_await context->hooks().log.read(context->settings().configStream, from - 1, 1, core::Duration::zero());
    if (!page) {
        const bool isExpired = page.error().code() == eventlog::ErrorCode::Expired;
        co_return isExpired ? SyncState::UpToDate : SyncState::Failed;
    }
    self->m_context->recordLogGeneration((*page)->generation);
    const auto &records = (*page)->records;
    if (omitsRecordBefore(from, *page)) {
        co_return SyncState::UpToDate;
    }
    if (records.empty()) {
        const SyncState state = self->onShortLog(from, *page);
        co_return state == SyncState::Behind ? SyncState::UpToDate : state;
    }
    if (records.front().offset != from - 1 || !isSameOperation(records.front().data, *known)) {
        self->reportOnce(SyncState::Diverged,
                         "the records of the configuration log differ from those already applied below offset "
                             + std::to_string(from) + "; ignoring them");
        co_return SyncState::Diverged;
    }
    co_return SyncState::UpToDate;
}

SyncState LogFollower::onShortLog(core::Offset from, const eventlog::LogPage &page)
{
    const bool isRestored = page->generation > 0 && recordEnd({page->generation, page->next});
    const SyncState state = isRestored ? SyncState::Behind : SyncState::Diverged;
    reportOnce(state,
               "the configuration log ends at offset " + std::to_string(page->next) + ", below the applied offset "
                   + std::to_string(from)
                   + (isRestored ? ", since it was restored from a copy; keeping the applied records"
                                 : "; ignoring its records"));
    return state;
}

bool LogFollower::recordEnd(const LogEnd &end)
{
    const std::scoped_lock lock(m_mutex);
    if (end.generation == m_end.generation && end.offset < m_end.offset) {
        return false;
    }
    m_end = std::max(m_end, end);
    return true;
}

void LogFollower::reportOnce(SyncState state, const std::string &text)
{
    if (m_reported.exchange(state) != state) {
        m_context->report(text);
    }
}

}
