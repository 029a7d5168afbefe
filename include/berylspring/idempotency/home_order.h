#pragma once

#include "berylspring/core/name.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace berylspring::idempotency {

/** @brief What a node that accepted a claim has said about how long it has kept claims. */
enum class Memory {
    CoversRetention, ///< It has run for at least the retention of claims.
    Shorter, ///< It joined within the retention, so it may have missed claims.
};

/** @brief What the home must do next before it may dispatch a request. */
struct ClaimStep
{
    enum class Kind {
        Ask, ///< Ask the hosts for their record of the name and write the claim there.
        Proceed, ///< Nobody else has run the name, and the standby holds the claim.
        PastUnknown, ///< The hosts that may have run the name are gone.
    };

    Kind kind = Kind::Ask;
    std::vector<core::HostId> hosts; ///< With Ask.
    [[nodiscard]] bool operator==(const ClaimStep &) const = default;
};

/**
 * @brief Hosts of the home data centre in the order in which they are responsible for one name.
 *
 * A record of the name was written on the two highest-ranked hosts that were live then. Every live host that now ranks
 * above such a host joined later, so a scan down to the first host that is older than the retention finds the record,
 * unless both of its holders are gone. In that case two gone hosts rank above the first old one.
 */
class HomeOrder
{
public:
    /** Standbys asked at most. Four hosts that joined within the retention and outrank both holders are neglected. */
    static constexpr std::size_t MaxStandbys = 3;
    /** Number of nodes that hold a record. */
    static constexpr std::size_t Holders = 2;

    /**
     * @param claimName Name to be placed.
     * @param live Live hosts of the home data centre.
     * @param recent Live hosts and those that died within the retention, without those that left by plan. A host that
     * came back after a crash without its records is listed once more for each crash.
     */
    HomeOrder(std::string_view claimName, std::vector<core::HostId> live, std::vector<core::HostId> recent);

    /** @return The highest-ranked live host; empty without live hosts. */
    [[nodiscard]] core::HostId home() const;
    /** @return Live hosts after the home, by descending rank. */
    [[nodiscard]] std::vector<core::HostId> standbys() const;
    /** @return Number of recent hosts that are gone, or lost their records, and rank at or above the host. */
    [[nodiscard]] std::size_t goneAbove(const core::HostId &host) const;

    /**
     * @param accepted Hosts that hold the claim, the home included, and their memory.
     * @param isPresumedOld Guess for a host that was not asked yet; decides only how many hosts are asked at once.
     */
    [[nodiscard]] ClaimStep next(const std::map<core::HostId, Memory> &accepted,
                                 const std::function<bool(const core::HostId &)> &isPresumedOld) const;

    [[nodiscard]] bool operator==(const HomeOrder &) const = default;

private:
    [[nodiscard]] ClaimStep
    ask(std::size_t first, const std::function<bool(const core::HostId &)> &isPresumedOld, bool needsOld) const;
    [[nodiscard]] ClaimStep judge(const core::HostId &firstOld) const;

    std::vector<core::HostId> m_live; ///< By descending rank.
    std::vector<core::HostId> m_recent; ///< By descending rank; a host may occur more than once.
};

}
