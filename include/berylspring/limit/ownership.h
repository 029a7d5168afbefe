#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace berylspring::limit {

/** @brief The right of a node to own buckets. Each break of it starts a new epoch, in which old buckets are void. */
class NodeLease
{
public:
    /** @param start Start of the process. */
    explicit NodeLease(core::TimePoint start)
        : m_until(start + core::Duration(std::chrono::milliseconds(1500)))
        , m_brokenAt(start)
    {
    }

    /**
     * @param now A node that was paused past the end of its lease starts a new epoch here.
     * @param lastAck When the newest acknowledged message to a peer was sent.
     * @param hasPeers A node without peers in its data centre needs no acknowledgement.
     * @param resumeCount A change starts a new epoch.
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
    /** @return Start of the process or last break of the lease. */
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

/** @brief Live hosts of the own data centre, and those that left lately. */
class ViewHistory
{
public:
    /** @return The history with the view of now. */
    [[nodiscard]] ViewHistory observed(std::vector<core::HostId> live, core::TimePoint now) const;

    /** @return The history without a host that announced its stop; it counts as departed. */
    [[nodiscard]] ViewHistory without(const core::HostId &host, core::TimePoint now) const;

    [[nodiscard]] const std::vector<core::HostId> &live() const noexcept
    {
        return m_live;
    }
    /** @return Hosts that left the view, with the moment at which that was seen. */
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
    Waiting, ///< An earlier owner, its loans or its grants may still count.
    Active,
};

/** @brief Whether a node owns the bucket of one workspace. */
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

    /** @return The ownership under the lease: Idle when it comes from another epoch. */
    [[nodiscard]] Ownership under(const NodeLease &lease) const
    {
        return m_epoch == lease.epoch() ? *this : Ownership();
    }
    [[nodiscard]] OwnershipPhase phase() const noexcept
    {
        return m_phase;
    }
    /** @return End of the phase Waiting. */
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

/** @brief How a node becomes the owner. */
struct StartPlan
{
    std::optional<core::HostId> predecessor; ///< Must answer a HandoverRequest first.
    /** The bucket is empty here, and refills from here on, or from the answer of the predecessor if that is later. */
    core::TimePoint readyAt{};
    [[nodiscard]] bool operator==(const StartPlan &) const = default;
};

/**
 * @brief Plans the start of an owner that has no bucket.
 * @param workspace Name of the workspace.
 * @param self This host, first in the order of the live hosts.
 * @param view Hosts of the data centre.
 * @param lease Lease of this node.
 * @param now Current time.
 * @param askFirst A host that is known to have had the bucket, or to know who has.
 */
[[nodiscard]] StartPlan planStart(std::string_view workspace,
                                  const core::HostId &self,
                                  const ViewHistory &view,
                                  const NodeLease &lease,
                                  core::TimePoint now,
                                  const std::optional<core::HostId> &askFirst = std::nullopt);

}
