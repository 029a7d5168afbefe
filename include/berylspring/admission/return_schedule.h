#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace berylspring::admission {

/** @brief A root request as the schedule of returns sees it. */
struct ReturningRequest
{
    core::Digest digest; ///< See core::requestDigest(); the same for all attempts of a caller.
    core::ServiceId service; ///< First service of the route.
    core::WorkspaceId workspace;
    std::uint32_t rank = 0; ///< See RootAdmission::rankOf().
    [[nodiscard]] bool operator==(const ReturningRequest &) const = default;
};

/** @brief When a refused caller should come back. */
struct ReturnTime
{
    core::Duration wait{};
    bool isPromised = false; ///< Room is reserved for the request at that time.
    [[nodiscard]] bool operator==(const ReturnTime &) const = default;
};

/** @brief Numbers of promises since the start of the process. */
struct ReturnTotals
{
    std::uint64_t promised = 0;
    std::uint64_t late = 0; ///< Expired unused: the caller came too late or not at all.
    [[nodiscard]] bool operator==(const ReturnTotals &) const = default;
};

class ServiceReturns;

/**
 * @brief Gives refused root requests times to return at which the entry will have room for them. Thread-safe.
 *
 * For each first service there are slots of SlotLength up to Horizon ahead. The room of a slot is ReservedShare of the
 * requests that the entry admits in that time at present. That rate is measured, not configured: each root request that
 * an endpoint answered without a server error counts, with an exponential decay of 2 s (see AdmittedRate).
 * Refused requests do not count, so the rate does not rise with the demand.
 *
 * A refused request gets the first slot with room within a third of its remaining time, which is the longest wait that
 * callers honour. While several workspaces are refused, each may hold its equal share of the room. If all slots within
 * reach are full, a more important request replaces the latest promise of the least important one in a slot.
 *
 * Each refusal gets a promise of its own, also for a request that holds one already: requests of several callers may be
 * identical, and must not be sent back at the same moment.
 *
 * State is sharded by first service. It is lost with the process: callers of a restarted node are newcomers.
 */
class ReturnSchedule
{
public:
    static constexpr core::Duration SlotLength = std::chrono::milliseconds(100);
    static constexpr core::Duration Horizon = std::chrono::seconds(3);
    /** The other half is left to newcomers, so that promises cannot keep them out. */
    static constexpr double ReservedShare = 0.5;
    /** Callers wait for at most their remaining time divided by this; with a longer Retry-After they give up. */
    static constexpr int WaitDivisor = 3;
    /** Time that a request and its refusal spend on the way, in which the caller's remaining time shrinks. */
    static constexpr core::Duration TransitTime = std::chrono::milliseconds(50);
    /** Deviation of an arrival from the promised time that covers rounding by callers and the network. */
    static constexpr core::Duration MaxEarly = std::chrono::milliseconds(100);
    static constexpr core::Duration MaxLate = std::chrono::milliseconds(500);
    /**
     * Shortest wait without a promise. Callers with less than three times as much time left do not honour it and give
     * up, which keeps the refused attempts of a caller to a handful.
     */
    static constexpr core::Duration MinWait = std::chrono::milliseconds(300);
    /** Bounds the memory of a first service to about 2 MB. */
    static constexpr std::size_t MaxPromises = 4096;

    explicit ReturnSchedule(core::RandomSource random);
    ~ReturnSchedule();
    ReturnSchedule(const ReturnSchedule &) = delete;
    ReturnSchedule &operator=(const ReturnSchedule &) = delete;

    /** @brief Counts a root request that was answered, for the rate that is admitted at present. */
    void recordAdmitted(const core::ServiceId &service, core::TimePoint now);
    /** @brief Notes that a workspace sends root requests to the service, so that room is left for it. */
    void recordArrival(const core::ServiceId &service, const core::WorkspaceId &workspace, core::TimePoint now);
    /** @return Whether the service has promises, so that it is worth computing the digest of a request. */
    [[nodiscard]] bool hasPromises(const core::ServiceId &service, core::TimePoint now);
    /** @return Whether the request has a promise for about this time. The promise is used up. */
    [[nodiscard]] bool takePromise(const ReturningRequest &request, core::TimePoint now);
    /**
     * @param request The refused request.
     * @param remaining Time that its caller has left.
     * @return Time to come back, with a promise if there is a slot with room for it.
     */
    [[nodiscard]] ReturnTime promise(const ReturningRequest &request, core::Duration remaining, core::TimePoint now);
    /**
     * @return Time to come back without a promise: the longest that the caller honours, less a random part so that
     * callers do not come back together. It is at least MinWait.
     */
    [[nodiscard]] ReturnTime withoutPromise(core::Duration remaining);
    /** @return Root requests admitted per second at present. */
    [[nodiscard]] double admittedPerSecond(const core::ServiceId &service, core::TimePoint now);
    [[nodiscard]] ReturnTotals totals() const;

private:
    /** @brief Calls action(ServiceReturns &) with the lock of the service's shard held. */
    template<typename Action>
    auto withService(const core::ServiceId &service, Action &&action);
    [[nodiscard]] double randomShare();
    [[nodiscard]] static core::Duration longestWait(core::Duration remaining) noexcept;

    core::RandomSource m_random;
    core::ShardedMap<core::ServiceId, std::shared_ptr<ServiceReturns>> m_services;
};

}
