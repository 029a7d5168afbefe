#pragma once

#include "berylspring/config/snapshot.h"
#include "config/service_context.h"

#include <atomic>
#include <compare>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

namespace berylspring::config::detail {

/** @brief Result of one read of the log. */
enum class SyncState {
    Advanced, ///< Records were folded, or a snapshot was loaded.
    UpToDate, ///< There are no new records.
    Gap, ///< Records have expired, and no snapshot covers them.
    Behind, ///< The log was restored from a copy that lacks records of this node.
    Diverged, ///< The log ends below the applied offset, or its records differ from the folded ones.
    Failed, ///< The log could not be read.
};

/** @brief Reads new records of the snapshot stream. Not safe for concurrent use. */
class SnapshotReader
{
public:
    explicit SnapshotReader(ContextPtr context)
        : m_context(std::move(context))
    {
    }

    /** @brief Reads up to the end of the stream. @return Whether the end was reached. */
    static boost::asio::awaitable<bool> refresh(std::shared_ptr<SnapshotReader> self);

    [[nodiscard]] const std::optional<Catalogue> &newest() const noexcept
    {
        return m_assembler.newest();
    }

private:
    ContextPtr m_context;
    SnapshotAssembler m_assembler;
    core::Offset m_next = 0;
};

/** @brief Folds the records of the log into the store. Safe for concurrent use by several coroutines. */
class LogFollower
{
public:
    explicit LogFollower(ContextPtr context)
        : m_context(std::move(context))
    {
    }

    /** @brief Reads once, waiting up to `wait` for records; loads a snapshot if records have expired. */
    static boost::asio::awaitable<SyncState> sync(std::shared_ptr<LogFollower> self, core::Duration wait);

    /** @brief Loads the newest complete snapshot. @return Whether it was newer than the store's catalogue. */
    static boost::asio::awaitable<bool> loadSnapshot(std::shared_ptr<LogFollower> self);

    /** @return Whether the last page lacked records that this node has, or had others in their place. */
    [[nodiscard]] bool lacksRecords() const noexcept
    {
        const SyncState state = m_reported;
        return state == SyncState::Behind || state == SyncState::Diverged;
    }

private:
    static boost::asio::awaitable<SyncState> onExpired(std::shared_ptr<LogFollower> self);
    /** @return UpToDate if the log still has the last folded record or cannot tell, else Diverged or Failed. */
    static boost::asio::awaitable<SyncState> checkContinuity(std::shared_ptr<LogFollower> self, core::Offset from);
    SyncState foldPage(core::Offset from, const eventlog::LogPage &page, core::TimePoint sentAt);
    /** @brief Reports a log that ends below the applied offset. @return Behind if a restore explains it. */
    SyncState onShortLog(core::Offset from, const eventlog::LogPage &page);
    void reportOnce(SyncState state, const std::string &text);

    /** @brief Highest end of the log that was read in its latest generation. */
    struct LogEnd
    {
        std::uint64_t generation = 0;
        core::Offset offset = 0;
        [[nodiscard]] auto operator<=>(const LogEnd &) const = default;
    };
    /** @return False if the log has become shorter within a generation. */
    bool recordEnd(const LogEnd &end);

    ContextPtr m_context;
    std::mutex m_mutex;
    LogEnd m_end;
    std::atomic<bool> m_mustCheckContinuity = false;
    std::atomic<SyncState> m_reported = SyncState::UpToDate;
};
using FollowerPtr = std::shared_ptr<LogFollower>;

}
