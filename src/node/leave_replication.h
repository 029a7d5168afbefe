#pragma once

#include "berylspring/admission/notice_outbox.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace berylspring::node::detail {

/** @brief Where a change of the leaves is stored outside this process. */
struct LeaveCopies
{
    bool isLogged = false;
    bool isLogFailing = false; ///< The latest attempt to append has failed.
    bool isKeptByPeer = false; ///< At least one peer has acknowledged it.
    [[nodiscard]] bool operator==(const LeaveCopies &) const = default;
};

/**
 * @brief Decides when the leaves of this host are appended to the log and sent to the peers that keep them.
 * Thread-safe.
 *
 * The leaves are stored as a whole, so that a later change includes all earlier ones.
 */
class LeaveReplication
{
public:
    /** @brief Records that the leaves have changed. @return Number of the change, from 1. */
    std::uint64_t addChange();
    /** @brief Records that the log held the leaves as of a change when this process read it. */
    void foundInLog(std::uint64_t change, std::uint64_t generation);
    [[nodiscard]] std::uint64_t latestChange() const;

    /**
     * @param generation Present generation of the log; a log that was restored from a copy may lack the record.
     * @return Whether to append the leaves now; no further append is due until it has ended.
     */
    [[nodiscard]] bool takeAppend(std::uint64_t generation, core::TimePoint now);
    /** @brief Ends an append of the leaves as of a change. */
    void appended(std::uint64_t change, std::uint64_t generation);
    void appendFailed(core::TimePoint now);

    /** @return Those of the holders that must be sent the leaves now; none is due again before the retry interval. */
    [[nodiscard]] std::vector<admission::NoticeReceiver> takeDue(const std::vector<admission::NoticeReceiver> &holders,
                                                                 core::TimePoint now);
    void acknowledged(const admission::NoticeReceiver &holder, std::uint64_t change);

    [[nodiscard]] LeaveCopies copies(std::uint64_t change) const;

private:
    struct Delivery
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sentChange = 0;
        core::TimePoint sentAt;
        std::uint64_t acknowledgedChange = 0;
    };

    mutable std::mutex m_mutex;
    std::uint64_t m_latestChange = 0;
    std::uint64_t m_loggedChange = 0;
    std::uint64_t m_loggedGeneration = 0;
    bool m_isAppending = false;
    bool m_isLogFailing = false;
    core::TimePoint m_nextAppendAt{core::TimePoint::min()};
    std::uint64_t m_keptChange = 0; ///< Latest change that any peer has acknowledged.
    std::unordered_map<core::HostId, Delivery> m_deliveries;
};

}
