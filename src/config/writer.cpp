#include "config/writer.h"

#include <algorithm>
#include <utility>

namespace berylspring::config::detail {

namespace asio = boost::asio;

namespace {

/** Number of failed appends after which a write fails, so that an outage is reported within about a second. */
constexpr std::uint32_t MaxFailures = 3;
constexpr core::Duration ReadBackWait = std::chrono::milliseconds(200);

Result<WriteOutcome> outcomeOf(const LogRecord &record, const OperationResult &result)
{
    const bool isWithdrawal = record->type == ResourceType::Key && record->kind == RecordKind::Delete;
    const std::string text(toString(result.reason));
    switch (result.reason) {
    case VoidReason::None:
        return WriteOutcome{WriteState::Recorded, result.offset, 0};
    case VoidReason::DigestWithdrawn:
        if (isWithdrawal) {
            // Another operator has already withdrawn the same key, which is the requested result.
            return WriteOutcome{WriteState::Recorded, result.offset, 0};
        }
        return tl::unexpected(Error(ErrorCode::Conflict, text));
    case VoidReason::NotFound:
        return tl::unexpected(Error(ErrorCode::NotFound, text));
    case VoidReason::DigestFixed:
    case VoidReason::MissingReference:
        return tl::unexpected(Error(ErrorCode::Invalid, text));
    default:
        return tl::unexpected(Error(ErrorCode::Conflict, text));
    }
}

}

asio::awaitable<Result<WriteOutcome>> Writer::submit(std::shared_ptr<Writer> self, LogRecord record)
{
    const auto progress = std::make_shared<Progress>();
    progress->deadline = self->m_context->now() + self->m_context->settings().writeTimeout;
    auto result = co_await appendAndConfirm(self, record, progress);
    if (result && result->reason == VoidReason::FirstOffset) {
        record = LogRecord(*record.with(&LogRecordFields::operationId, self->m_context->newOperationId()));
        progress->isAppended = false;
        result = co_await appendAndConfirm(self, record, progress);
    }
    if (!result) {
        co_return tl::unexpected(Error::unavailable(progress->detail, progress->maybeApplied));
    }
    co_return outcomeOf(record, *result);
}

asio::awaitable<std::optional<OperationResult>>
Writer::appendAndConfirm(std::shared_ptr<Writer> self, LogRecord record, std::shared_ptr<Progress> progress)
{
    const ContextPtr context = self->m_context;
    while (context->now() < progress->deadline && progress->failures < MaxFailures) {
        if (!progress->isAppended) {
            co_await append(self, record, progress);
        }
        if (!progress->isAppended && !progress->maybeApplied) {
            if (progress->failures < MaxFailures) {
                co_await sleepFor(context->settings().retryDelay * progress->failures);
            }
            continue;
        }
        // A confirmed append is never repeated, even if the record becomes visible late.
        const core::TimePoint until =
            progress->isAppended ? progress->deadline
                                 : std::min(progress->deadline, context->now() + context->settings().confirmTimeout);
        auto result = co_await readBack(self, record->operationId, until);
        if (result) {
            co_return result;
        }
    }
    co_return std::nullopt;
}

asio::awaitable<void> Writer::append(std::shared_ptr<Writer> self, LogRecord record, std::shared_ptr<Progress> progress)
{
    const ContextPtr context = self->m_context;
    std::string data = toJson(record);
    const auto appended = co_await context->hooks().log.append(context->settings().configStream, std::move(data));
    if (appended) {
        progress->isAppended = true;
        progress->maybeApplied = true;
        co_return;
    }
    ++progress->failures;
    progress->detail = "the log did not take the change: " + appended.error().detail();
    progress->maybeApplied = progress->maybeApplied || appended.error().maybeApplied();
}

asio::awaitable<std::optional<OperationResult>>
Writer::readBack(std::shared_ptr<Writer> self, std::string operationId, core::TimePoint until)
{
    const ContextPtr context = self->m_context;
    for (;;) {
        auto result = context->store().catalogue()->findOperation(operationId);
        const core::TimePoint now = context->now();
        if (result || now >= until) {
            co_return result;
        }
        const core::Duration wait = std::min<core::Duration>(until - now, ReadBackWait);
        const SyncState state = co_await LogFollower::sync(self->m_follower, wait);
        // The loop that follows the log may have folded the record first; this read then returns nothing new.
        const bool isFound = context->store().catalogue()->findOperation(operationId).has_value();
        if (state != SyncState::Advanced && !isFound) {
            co_await sleepFor(context->settings().retryDelay / 4);
        }
    }
}

}
