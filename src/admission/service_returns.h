#pragma once

#include "berylspring/admission/admitted_rate.h"
#include "berylspring/admission/return_schedule.h"
#include "berylspring/core/digest.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace berylspring::admission {

/** @brief Promises of one first service. Not thread-safe; guarded by the lock of its shard. */
class ServiceReturns
{
public:
    void recordAdmitted(core::TimePoint now);
    void recordArrival(const core::WorkspaceId &workspace, core::TimePoint now);
    [[nodiscard]] bool hasPromises(core::TimePoint now);
    [[nodiscard]] bool takePromise(const core::Digest &digest, core::TimePoint now);
    /**
     * @param latest Latest useful time to return.
     * @param position Place of the time within its slot, 0 to 1.
     * @return The promised time, or nothing if no slot has room.
     */
    [[nodiscard]] std::optional<core::TimePoint>
    promise(const ReturningRequest &request, core::TimePoint latest, double position, core::TimePoint now);
    [[nodiscard]] double admittedPerSecond(core::TimePoint now) const
    {
        return m_rate.perSecond(now);
    }
    [[nodiscard]] ReturnTotals totals() const
    {
        return m_totals;
    }

private:
    using Slot = std::int64_t; ///< Number of slot lengths since the origin of the time.
    using PromiseKey = std::pair<Slot, std::uint64_t>; ///< Slot, and number in the order in which promises were made.

    struct Promise
    {
        core::TimePoint at;
        ReturningRequest request;
    };
    /** @brief Promises made for one slot, whether used or not. */
    struct Bookings
    {
        double total = 0;
        std::unordered_map<core::WorkspaceId, double> byWorkspace;
    };
    struct Activity
    {
        core::TimePoint seenAt;
        std::optional<core::TimePoint> refusedAt;
        double held = 0; ///< Promises that are neither used nor expired.
    };
    using Promises = std::map<PromiseKey, Promise>;

    [[nodiscard]] static Slot slotOf(core::TimePoint time) noexcept;
    [[nodiscard]] static core::TimePoint startOf(Slot slot) noexcept;
    void expire(core::TimePoint now);
    void countWorkspaces(core::TimePoint now);
    /** @brief Removes an unused promise from all indexes but its bookings. */
    Promises::iterator remove(Promises::iterator promise);
    /** @brief Removes an unused promise and its booking. */
    void withdraw(Promises::iterator promise);
    /** @return Share of the room that a workspace may hold, 0 to 1. */
    [[nodiscard]] double workspaceShare() const noexcept;
    [[nodiscard]] std::optional<Slot>
    slotWithRoom(const core::WorkspaceId &workspace, Slot first, Slot last, double roomPerSlot) const;
    /** @return The latest promise of the least important request between the slots that is below the rank. */
    [[nodiscard]] Promises::iterator replaceable(std::uint32_t rank, Slot first, Slot last);

    AdmittedRate m_rate;
    Promises m_promises;
    std::unordered_multimap<core::Digest, PromiseKey> m_byDigest;
    std::map<std::uint64_t, Slot> m_byAge;
    std::map<Slot, Bookings> m_bookings;
    std::map<std::uint32_t, std::size_t> m_byRank; ///< Unused promises of each rank.
    std::unordered_map<core::WorkspaceId, Activity> m_workspaces;
    std::size_t m_refusedWorkspaces = 0; ///< Refused recently, as of m_countedIn.
    std::size_t m_activeWorkspaces = 0; ///< Sent requests recently, as of m_countedIn.
    Slot m_countedIn = -1;
    std::uint64_t m_nextNumber = 0;
    ReturnTotals m_totals;
};

}
