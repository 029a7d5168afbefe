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
    Suspect, ///< Ran during a crash; must run alone.
    Quarantined, ///< Must not run.
};

/**
 * @brief Requests that crashed an endpoint, by request digest.
 *
 * Requests that lose their connection in a crash become suspects. A suspect that crashes the endpoint again while it
 * runs alone is the cause and is quarantined; a suspect that is answered is cleared.
 */
class Quarantine
{
public:
    /** Maximum number of entries. When it is reached, expired entries are removed; if none are, no new one is added. */
    static constexpr std::size_t MaxEntries = 100'000;

    /**
     * @param duration Duration of a quarantine.
     * @param suspicion Duration for which a request stays suspect after a crash.
     */
    Quarantine(core::Duration duration, core::Duration suspicion);

    [[nodiscard]] QuarantineState state(const core::Digest &digest, core::TimePoint now) const;
    /** @return Remaining time of the quarantine; zero if there is none. */
    [[nodiscard]] core::Duration remaining(const core::Digest &digest, core::TimePoint now) const;
    /**
     * @brief Records that a request lost its endpoint connection after bytes of it may have been sent.
     * @param ranAlone Whether no other request ran on the endpoint from its start to the loss of the connection.
     * @return Its new state.
     */
    QuarantineState crashed(const core::Digest &digest, bool ranAlone, core::TimePoint now);
    /** @brief Records that a request was answered, which clears a suspect. */
    void answered(const core::Digest &digest, core::TimePoint now);
    /** @brief Records that the request ran during a crash at another node. */
    void suspect(const core::Digest &digest, core::TimePoint now);
    /** @brief Applies a quarantine of another node. Never shortens an existing one. */
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
