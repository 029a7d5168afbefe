#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace berylspring::idempotency {

/** @brief Gives how long a host has kept claim records; empty if this node does not know. */
using UptimeLookup = std::function<std::optional<core::Duration>(const core::HostId &)>;

/** @brief Next step of the home before it may dispatch a request. */
struct ClaimStep
{
    enum class Kind {
        Ask, ///< Send the claim to the hosts; each stores it or replies with its existing record.
        Proceed, ///< No other host has run the name, and the standby holds the claim.
        RecordsLost, ///< Hosts that may have held a record of the name have lost it.
    };

    Kind kind = Kind::Ask;
    std::vector<core::HostId> hosts; ///< With Ask.
    [[nodiscard]] bool operator==(const ClaimStep &) const = default;
};

/**
 * @brief Hosts of the home data centre, ranked for one name by rendezvous hashing.
 *
 * A record is written to the two hosts that rank highest among the live ones. A live host that now ranks above such a
 * holder was not live at that time: it joined later, or was declared dead. A scan by descending rank, down to the first
 * host that has kept records for the whole retention and was never declared dead, therefore finds the record unless
 * both holders have lost it. In that case two hosts without their records rank above that first host.
 */
class HomeOrder
{
public:
    /**
     * Limit of the scan, in standbys that joined within the retention. The case that four such hosts outrank both
     * holders of a record is not covered.
     */
    static constexpr std::size_t MaxStandbys = 3;
    /** Number of hosts that hold a record. */
    static constexpr std::size_t Holders = 2;
    /** Hosts whose start times differ by less count as started together, as at the first start of a deployment. */
    static constexpr core::Duration StartTimeTolerance = std::chrono::seconds(5);
    /**
     * Time until all nodes know a host that joined. Before that it stores the claim but does not count as the standby:
     * a node that knows neither it nor the home would become home with a standby that has no record.
     */
    static constexpr core::Duration ViewPropagationTime = std::chrono::seconds(10);

    /**
     * @param claimName Name whose hosts are ranked.
     * @param live Live hosts of the home data centre.
     * @param recent Live hosts and those that died within the retention, except those that stopped by plan. A host that
     * was declared dead within the retention and is live again is listed twice, whether it crashed or not.
     * @param retention Lifetime of a record.
     */
    HomeOrder(std::string_view claimName,
              std::vector<core::HostId> live,
              std::vector<core::HostId> recent,
              core::Duration retention);

    /** @return The highest-ranked live host; empty without live hosts. */
    [[nodiscard]] core::HostId home() const;
    /** @return Live hosts except the home, by descending rank. */
    [[nodiscard]] std::vector<core::HostId> standbys() const;
    /** @return Whether a recent host of the earlier order is missing here: it stopped by plan, or its entry expired. */
    [[nodiscard]] bool hasRemovedHostSince(const HomeOrder &earlier) const;

    /**
     * @param accepted Hosts that hold the claim, including the home, and how long each has kept records.
     * @param uptimeOf The same time for hosts that were not asked or are not live.
     */
    [[nodiscard]] ClaimStep next(const std::map<core::HostId, core::Duration> &accepted,
                                 const UptimeLookup &uptimeOf) const;

    [[nodiscard]] bool operator==(const HomeOrder &) const = default;

private:
    using Accepted = std::map<core::HostId, core::Duration>;

    [[nodiscard]] bool isLive(const core::HostId &host) const;
    /** @return Whether the host was declared dead within the retention and is live again. */
    [[nodiscard]] bool wasDeclaredDead(const core::HostId &host) const;
    /** @return Whether the host lost its records: it is not live, or it was declared dead and may have restarted. */
    [[nodiscard]] bool hasLostRecords(const core::HostId &host, const Accepted &accepted) const;
    /** @return Maximum number of live hosts to scan, including the home. */
    [[nodiscard]] std::size_t scanLimit() const;
    [[nodiscard]] ClaimStep
    ask(std::size_t first, std::size_t end, bool needsLongRunning, const UptimeLookup &uptimeOf) const;
    /** @return Whether two hosts that lost their records rank above `member`, which was live all the time. */
    [[nodiscard]] bool areHoldersGone(const core::HostId &member, const Accepted &accepted) const;
    [[nodiscard]] bool mayRecordBeLost(const Accepted &accepted, const UptimeLookup &uptimeOf) const;

    std::vector<core::HostId> m_live; ///< By descending rank.
    std::vector<core::HostId> m_recent; ///< By descending rank; a host may occur more than once.
    core::Duration m_retention;
};

}
