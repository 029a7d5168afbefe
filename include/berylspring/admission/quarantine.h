#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace berylspring::admission {

enum class QuarantineState {
    Clear,
    Suspect, ///< Ran during a crash: must run alone.
    Quarantined, ///< Must not run.
};

/**
 * @brief Requests that crashed an endpoint, by request digest.
 *
 * The requests that lose their connection in a crash are suspects. A suspect that crashes the endpoint again while
 * it runs alone is the cause and is quarantined; one that is answered is cleared.
 */
class Quarantine
{
public:
    /** Entries kept at most; above it, expired ones are removed and new suspects are not recorded. */
    static constexpr std::size_t MaxEntries = 100'000;

    /**
     * @param duration Length of a quarantine.
     * @param suspicion Length of a suspicion.
     */
    Quarantine(core::Duration duration, core::Duration suspicion);

    [[nodiscard]] QuarantineState state(const core::Digest &digest, core::TimePoint now) const;
    /** @return Rest of the quarantine; zero when there is none. */
    [[nodiscard]] core::Duration remaining(const core::Digest &digest, core::TimePoint now) const;
    /**
     * @brief A request lost its endpoint connection after bytes of it may have been sent.
     * @param ranAlone Whether nothing else ran on the endpoint from its start to the loss.
     * @return Its new state.
     */
    QuarantineState crashed(const core::Digest &digest, bool ranAlone, core::TimePoint now);
    /** @brief A request was answered: it is no suspect. */
    void answered(const core::Digest &digest, core::TimePoint now);
    /** @brief Another node saw the request run during a crash. */
    void suspect(const core::Digest &digest, core::TimePoint now);
    /** @brief Another node quarantined the request. Never shortens a quarantine. */
    void quarantine(const core::Digest &digest, core::Duration remaining, core::TimePoint now);
    void expire(core::TimePoint now);
    [[nodiscard]] std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        std::uint32_t crashes = 0;
        core::TimePoint suspectUntil;
        core::TimePoint quarantinedUntil;
        [[nodiscard]] QuarantineState state(core::TimePoint now) const noexcept;
    };

    [[nodiscard]] bool hasRoom(core::TimePoint now);

    core::Duration m_duration;
    core::Duration m_suspicion;
    core::ShardedMap<core::Digest, Entry> m_entries;
};

}
