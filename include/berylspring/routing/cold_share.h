#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/routing/candidate.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace berylspring::routing {

/** @brief Share of one node in the rate of a cold endpoint: a bucket of one request. */
class ColdShare
{
public:
    /**
     * @param interval Time in which the bucket fills.
     * @param random Selects the moment within the interval at which it is full first, so that nodes do not send at
     * once.
     */
    ColdShare(core::Duration interval, std::uint64_t random, core::TimePoint now) noexcept;

    [[nodiscard]] bool isFull(core::TimePoint now) const noexcept
    {
        return now >= m_fullAt;
    }
    /** @return The bucket after a request was sent. */
    [[nodiscard]] ColdShare withSent(core::Duration interval, core::TimePoint now) const noexcept;

    [[nodiscard]] bool operator==(const ColdShare &) const = default;

private:
    core::TimePoint m_fullAt;
};

/**
 * @brief Shares of one node in the cold endpoints of a service. Not thread-safe: guarded by the lock of its shard.
 *
 * The number of live nodes and the rate are taken as they are at the time of each request.
 */
class ColdShares
{
public:
    /**
     * @brief Takes the endpoints beyond this node's share out, unless no others are eligible.
     *
     * Forgets the shares of endpoints that have become warm.
     * @param eligible Result of checkEligibility().
     * @param random Selects when the shares of endpoints that have just become cold begin.
     */
    [[nodiscard]] std::vector<Candidate> withinShare(const std::vector<Candidate> &eligible,
                                                     std::size_t liveNodes,
                                                     std::uint64_t random,
                                                     core::TimePoint now);
    /** @brief Records that a request is sent to the endpoint. One beyond the share does not count. */
    void sent(const EndpointView &view, std::size_t liveNodes, core::TimePoint now);
    void forget(const core::HostId &host);

private:
    std::unordered_map<core::HostId, ColdShare> m_shares;
};

}
