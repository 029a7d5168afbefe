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

/** @brief A ping that waits for its ack. */
struct PendingPing
{
    core::HostId target; ///< Empty for a first contact by address.
    std::uint64_t incarnation = 0; ///< Of the target, when it was sent.
    core::TimePoint sentAt;
    core::Duration ackTimeout{0}; ///< Wait for the direct ack, and again for the indirect one.
    bool isLocal = false; ///< The target is in the own data centre.
    bool isProbe = false; ///< Without an ack the target is suspected.
    bool isIndirect = false; ///< Others have been asked.
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

/** @brief A probe that needs an action, with its sequence number. */
struct OverdueProbe
{
    std::uint64_t sequence = 0;
    PendingPing ping;
    [[nodiscard]] auto operator<=>(const OverdueProbe &) const = default;
};

struct OverdueProbes
{
    std::vector<OverdueProbe> unanswered; ///< Others should be asked now.
    std::vector<OverdueProbe> failed; ///< Neither a direct nor an indirect ack came.
    [[nodiscard]] bool operator==(const OverdueProbes &) const = default;
};

/** @brief Pings on their way, by sequence number. */
class PendingPings
{
public:
    void add(std::uint64_t sequence, PendingPing ping);
    void addRelay(std::uint64_t sequence, RelayedPing relay);

    /**
     * @param sequence Of the ack.
     * @param target Who is shown to be alive.
     * @return The ping that the ack answers, once.
     */
    std::optional<PendingPing> answered(std::uint64_t sequence, const core::HostId &target);
    std::optional<RelayedPing> relayAnswered(std::uint64_t sequence, const core::HostId &target);

    /**
     * @param now The current time.
     * @param stretch Factor for the timeouts.
     */
    OverdueProbes overdue(core::TimePoint now, int stretch);

    /** @brief Gives the open probes more time after this process did not run for the gap. */
    void extendProbes(core::Duration gap);
    /** @brief Forgets all probes: after a pause a missing ack says nothing. */
    void clear();

private:
    std::mutex m_mutex;
    std::unordered_map<std::uint64_t, PendingPing> m_pings;
    std::unordered_map<std::uint64_t, core::Duration> m_extensions;
    std::unordered_map<std::uint64_t, RelayedPing> m_relays;
};

}
