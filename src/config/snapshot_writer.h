#pragma once

#include "config/log_follower.h"
#include "config/snapshot_schedule.h"

#include <memory>

namespace berylspring::config::detail {

/** @brief Appends a snapshot when one is due on this node. Not safe for concurrent use. */
class SnapshotWriter
{
public:
    explicit SnapshotWriter(ContextPtr context)
        : m_context(std::move(context))
        , m_reader(std::make_shared<SnapshotReader>(m_context))
        , m_schedule(m_context->settings().snapshotInterval)
    {
    }

    /** @brief Checks the stream and writes a snapshot if one is due. @return Time until the next check. */
    static boost::asio::awaitable<core::Duration> step(std::shared_ptr<SnapshotWriter> self);

private:
    static boost::asio::awaitable<void> write(std::shared_ptr<SnapshotWriter> self);

    ContextPtr m_context;
    std::shared_ptr<SnapshotReader> m_reader;
    SnapshotSchedule m_schedule;
};

}
