#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace berylspring::limit {

/** @brief Lease under which a node owns buckets. Losing it starts a new epoch, which invalidates older buckets. */
class NodeLease
{
public:
    /** @param start Start time of the process. */
    explicit NodeLease(core::TimePoint start)
        : m_until(start + core::Duration(std::chrono::milliseconds(1500)))
        , m_brokenAt(start)
    {
    }

    /**
     * @param now Current time. If the lease has expired, for example during a pause, a new epoch starts here.
     * @param lastAck Send time of the newest message that a peer has acknowledged.
     * @param hasPeers Whether the data centre has other live hosts; without any, no acknowledgement is needed.
     * @param resumeCount Number of resumes of the process; a change starts a new epoch.
     */
    [[nodiscard]] NodeLease
    observed(core::TimePoint now, core::TimePoint lastAck, bool hasPeers, std::uint64_t resumeCount) const;

    [[nodiscard]] std::uint64_t epoch() const noexcept
    {
        return m_epoch;
    }
    [[nodiscard]] core::TimePoint until() const noexcept
    {
        return m_until;
    }
    /** @return Start time of the process, or time at which the lease was last lost. */
    [[nodiscard]] core::TimePoint brokenAt() const noexcept
    {
        return m_brokenAt;
    }
    [[nodiscard]] bool operator==(const NodeLease &) const = default;

private:
    core::TimePoint m_until;
    core::TimePoint m_brokenAt;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_resumeCount = 0;
};

/** @brief Live hosts of the own data centre, and those that left recently. */
class ViewHistory
{
public:
    /** @return The history updated with the current view. */
    [[nodiscard]] ViewHistory observed(std::vector<core::HostId> live, core::TimePoint now) const;

    /** @return The history in which the host has departed at now. */
    [[nodiscard]] ViewHistory without(const core::HostId &host, core::TimePoint now) const;

    [[nodiscard]] const std::vector<core::HostId> &live() const noexcept
    {
        return m_live;
    }
    /** @return Hosts that left the view, with the time at which their absence was observed. */
    [[nodiscard]] const std::map<core::HostId, core::TimePoint> &departed() const noexcept
    {
        return m_departed;
    }
    [[nodiscard]] bool operator==(const ViewHistory &) const = default;

private:
    std::vector<core::HostId> m_live;
    std::map<core::HostId, core::TimePoint> m_departed;
};

enum class OwnershipPhase : std::uint8_t {
    Idle,
    Waiting, ///< Grants or loans of an earlier owner may still be in use.
    Active,
};

/** @brief State of a node's ownership of the bucket of one workspace. */
class Ownership
{
public:
    Ownership() = default;

    [[nodiscard]] static Ownership waiting(core::TimePoint until, std::uint64_t epoch)
    {
        return Ownership(OwnershipPhase::Waiting, until, epoch);
    }
    [[nodiscard]] static Ownership active(std::uint64_t epoch)
    {
        return Ownership(OwnershipPhase::Active, {}, epoch);
    }

    /** @return This ownership, or Idle if it was acquired in another epoch of the lease. */
    [[nodiscard]] Ownership under(const NodeLease &lease) const
    {
        return m_epoch == lease.epoch() ? *this : Ownership();
    }
    [[nodiscard]] OwnershipPhase phase() const noexcept
    {
        return m_phase;
    }
    /** @return End of the Waiting phase. */
    [[nodiscard]] core::TimePoint until() const noexcept
    {
        return m_until;
    }
    [[nodiscard]] bool operator==(const Ownership &) const = default;

private:
    Ownership(OwnershipPhase phase, core::TimePoint until, std::uint64_t epoch)
        : m_phase(phase)
        , m_until(until)
        , m_epoch(epoch)
    {
    }

    OwnershipPhase m_phase = OwnershipPhase::Idle;
    core::TimePoint m_until{};
    std::uint64_t m_epoch = 0;
};

/** @brief Steps by which a node becomes the owner of a bucket. */
struct StartPlan
{
    std::optional<core::HostId> predecessor; ///< Has to answer a HandoverRequest before the start.
    /** Time at which the empty bucket starts to refill, or the answer of the predecessor if that is later. */
    core::TimePoint readyAt{};
    [[nodiscard]] bool operator==(const StartPlan &) const = default;
};

/**
 * @brief Plans how a node without a bucket becomes its owner.
 * @param workspace Name of the workspace.
 * @param self This host, first in the rendezvous order of the live hosts.
 * @param view Hosts of the data centre.
 * @param lease Lease of this node.
 * @param now Current time.
 * @param knownPredecessor A host that is known to have owned the bucket, or to know its owner; asked first.
 */
[[nodiscard]] StartPlan planStart(std::string_view workspace,
                                  const core::HostId &self,
                                  const ViewHistory &view,
                                  const NodeLease &lease,
                                  core::TimePoint now,
                                  const std::optional<core::HostId> &knownPredecessor = std::nullopt);

}
