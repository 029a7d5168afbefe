#pragma once

#include "berylspring/core/name.h"

#include <compare>
#include <cstddef>
#include <map>
#include <mutex>
#include <vector>

namespace berylspring::membership {

/** @brief A part of the table that is sent to one member. */
struct SyncPart
{
    core::HostId receiver;
    std::vector<core::HostId> hosts; ///< Members whose records are sent.
    [[nodiscard]] auto operator<=>(const SyncPart &) const = default;
};

/** @brief Datagrams to many members that are sent over several ticks, so that they do not overflow socket buffers. */
class Backlog
{
public:
    /** @brief Sends the own record to these members, instead of those left from an earlier push. */
    void push(std::vector<core::HostId> receivers);
    /** @brief Sends the records of these hosts to a member, unless that is under way already. */
    void sync(const core::HostId &receiver, const std::vector<core::HostId> &hosts);

    /** @return Up to count members that get the own record now. */
    [[nodiscard]] std::vector<core::HostId> nextPushes(std::size_t count);
    /** @return Up to count records for each member that asked for the table. */
    [[nodiscard]] std::vector<SyncPart> nextSyncs(std::size_t count);

private:
    std::mutex m_mutex;
    std::vector<core::HostId> m_pushes;
    std::map<core::HostId, std::vector<core::HostId>> m_syncs;
};

}
