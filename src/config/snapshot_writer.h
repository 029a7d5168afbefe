#pragma once

#include "config/log_follower.h"
#include "config/snapshot_schedule.h"

#include <memory>

namespace berylspring::config::detail {

/** @brief Appends a snapshot when it is this node's turn; used by one coroutine. */
class SnapshotWriter
{
public:
    explicit SnapshotWriter(ContextPtr context)
        : m_context(std::move(context))
        , m_reader(std::make_shared<SnapshotReader>(m_context))
        , m_schedule(m_context->settings().snapshotInterval)
    {
    }

    /** @brief One look at the stream. @return Time until the next one. */
    static boost::asio::awaitable<core::Duration> step(std::shared_ptr<SnapshotWriter> self);

private:
    static boost::asio::awaitable<void> write(std::shared_ptr<SnapshotWriter> self);

    ContextPtr m_context;
    std::shared_ptr<SnapshotReader> m_reader;
    SnapshotSchedule m_schedule;
};

}
