#pragma once

#include "config/service_context.h"

#include <memory>
#include <mutex>
#include <optional>

namespace berylspring::config::detail {

/** @brief Fetches records from peers, at most one pull at a time. */
class PeerSync
{
public:
    explicit PeerSync(ContextPtr context)
        : m_context(std::move(context))
    {
    }

    /** @brief Pulls until the offset is applied or the peer has no more; see ConfigService::pullFrom(). */
    static boost::asio::awaitable<void> pull(std::shared_ptr<PeerSync> self, core::HostId peer, core::Offset offset);

    /** @brief Requests one batch of records and the proof of a peer. @return Whether the peer answered. */
    static boost::asio::awaitable<bool> refreshFrom(std::shared_ptr<PeerSync> self, core::HostId peer);

    /** @brief Pulls all records of a random peer. */
    static boost::asio::awaitable<void> pullFromAny(std::shared_ptr<PeerSync> self);

private:
    struct Target
    {
        core::HostId peer;
        core::Offset offset = 0;
    };

    enum class PullResult {
        Advanced,
        NothingNew,
        Failed,
    };

    /** @return Whether the caller has to run the pull; otherwise the running pull takes it over. */
    bool tryStart(const Target &target);
    /** @return The pull requested meanwhile; without one, the running pull is marked as finished. */
    std::optional<Target> takeNext();
    static boost::asio::awaitable<void> run(std::shared_ptr<PeerSync> self, Target target);
    static boost::asio::awaitable<PullResult>
    pullOnce(std::shared_ptr<PeerSync> self, core::HostId peer, core::Duration timeout);
    PullResult applyBatch(core::Offset from, const wire::RecordBatch &batch, core::TimePoint askedAt);

    ContextPtr m_context;
    std::mutex m_mutex;
    bool m_isRunning = false;
    std::optional<Target> m_next;
};
using PeerSyncPtr = std::shared_ptr<PeerSync>;

}
