#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <functional>

namespace berylspring::admission {

/** @brief An endpoint as seen by an entry node. */
struct EndpointKey
{
    core::HostId host;
    core::ServiceId service;
    [[nodiscard]] auto operator<=>(const EndpointKey &) const = default;
};

}

template<>
struct std::hash<berylspring::admission::EndpointKey>
{
    [[nodiscard]] std::size_t operator()(const berylspring::admission::EndpointKey &key) const noexcept;
};

namespace berylspring::admission {

/** @brief Admitted levels that an entry node has learned, so that it can shed requests without sending them. */
class EntryShedding
{
public:
    /** Age up to which a level holds; afterwards it falls by one per AdmittedLevel::DecayInterval. */
    static constexpr core::Duration HoldTime = std::chrono::seconds(1);
    /** One of this many requests below the level is sent as a probe, to detect that the level has fallen. */
    static constexpr std::uint64_t ProbeInterval = 100;

    explicit EntryShedding(core::RandomSource random);

    /** @brief Records the level that a response of the endpoint carried. */
    void recordLevel(const EndpointKey &endpoint, core::PriorityLevel level, core::TimePoint now);
    /** @return Lowest level that the endpoint is known to admit; 0 without a recent response. */
    [[nodiscard]] core::PriorityLevel level(const EndpointKey &endpoint, core::TimePoint now) const;
    /** @return Whether to send a request of this priority; below the level, true for the probes only. */
    [[nodiscard]] bool admits(const EndpointKey &endpoint, core::PriorityLevel priority, core::TimePoint now) const;
    /** @brief Removes levels that have decayed to 0. */
    void expire(core::TimePoint now);

private:
    struct KnownLevel
    {
        core::PriorityLevel level = 0;
        core::TimePoint receivedAt;
        [[nodiscard]] core::PriorityLevel levelAt(core::TimePoint now) const noexcept;
    };

    core::RandomSource m_random;
    core::ShardedMap<EndpointKey, KnownLevel> m_known;
};

}
