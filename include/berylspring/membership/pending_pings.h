#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/membership/settings.h"

#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace berylspring::membership {

/** @brief A ping that has not been acknowledged. */
struct PendingPing
{
    core::HostId target; ///< Empty if only the address is known.
    std::uint64_t incarnation = 0; ///< Of the target, when the ping was sent.
    core::TimePoint sentAt;
    core::Duration ackTimeout{0}; ///< Timeout of the direct probe, and again of the indirect one.
    bool isLocal = false; ///< The target is in the own data centre.
    bool isProbe = false; ///< The target becomes suspect if no ack arrives.
    bool isIndirect = false; ///< Indirect probes have been requested.
    [[nodiscard]] auto operator<=>(const PendingPing &) const = default;
};

/** @brief A ping that was sent on behalf of another member. */
struct RelayedPing
{
    PeerAddress requester;
    std::uint64_t sequence = 0; ///< Of the request.
    core::HostId target;
    core::TimePoint sentAt;
    [[nodiscard]] auto operator<=>(const RelayedPing &) const = default;
};

/** @brief A probe that passed a timeout, with its sequence number. */
struct OverdueProbe
{
    std::uint64_t sequence = 0;
    PendingPing ping;
    [[nodiscard]] auto operator<=>(const OverdueProbe &) const = default;
};

struct OverdueProbes
{
    std::vector<OverdueProbe> unanswered; ///< Indirect probes are due.
    std::vector<OverdueProbe> failed; ///< Neither a direct nor an indirect ack arrived.
    [[nodiscard]] bool operator==(const OverdueProbes &) const = default;
};

/** @brief Unacknowledged pings, by sequence number. */
class PendingPings
{
public:
    void add(std::uint64_t sequence, PendingPing ping);
    void addRelay(std::uint64_t sequence, RelayedPing relay);

    /**
     * @param sequence Of the ack.
     * @param target Member that the ack shows to be alive.
     * @return The ping that the ack answers, which is removed.
     */
    std::optional<PendingPing> takeAnswered(std::uint64_t sequence, const core::HostId &target);
    std::optional<RelayedPing> takeAnsweredRelay(std::uint64_t sequence, const core::HostId &target);

    /**
     * @param now The current time.
     * @param timeoutFactor Factor for the timeouts.
     */
    OverdueProbes overdue(core::TimePoint now, int timeoutFactor);

    /** @brief Extends the timeouts of open probes by a gap in which this process did not run. */
    void extendProbes(core::Duration gap);
    /** @brief Discards all pings: after a pause a missing ack is no evidence against its target. */
    void clear();

private:
    std::mutex m_mutex;
    std::unordered_map<std::uint64_t, PendingPing> m_pings;
    std::unordered_map<std::uint64_t, core::Duration> m_extensions;
    std::unordered_map<std::uint64_t, RelayedPing> m_relays;
};

}
