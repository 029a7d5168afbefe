#pragma once

#include "berylspring/core/name.h"

#include <compare>
#include <cstddef>
#include <map>
#include <mutex>
#include <vector>

namespace berylspring::membership {

/** @brief A part of the member table to be sent to one member. */
struct SyncPart
{
    core::HostId receiver;
    std::vector<core::HostId> hosts; ///< Members whose records are sent.
    [[nodiscard]] auto operator<=>(const SyncPart &) const = default;
};

/** @brief Datagrams that are spread over several ticks, so that they do not overflow socket buffers. */
class Backlog
{
public:
    /** @brief Queues the own record for these members and drops what is left of an earlier push. */
    void push(std::vector<core::HostId> receivers);
    /** @brief Queues the records of these hosts for a member, unless a transfer to it is in progress. */
    void sync(const core::HostId &receiver, const std::vector<core::HostId> &hosts);

    /** @return Up to count members to send the own record to now. */
    [[nodiscard]] std::vector<core::HostId> nextPushes(std::size_t count);
    /** @return Up to count records for each member that requested the table. */
    [[nodiscard]] std::vector<SyncPart> nextSyncs(std::size_t count);

private:
    std::mutex m_mutex;
    std::vector<core::HostId> m_pushes;
    std::map<core::HostId, std::vector<core::HostId>> m_syncs;
};

}
