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

/** @brief How long the process of a host has kept claims, if this node has learned it. */
using MemoryOf = std::function<std::optional<core::Duration>(const core::HostId &)>;

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
 * above such a host was not live then: it joined later, or was taken for dead. So a scan down to the first host that is
 * older than the retention and was never away finds the record, unless both of its holders are gone. In that case two
 * gone hosts rank above that first host.
 */
class HomeOrder
{
public:
    /** Standbys asked that joined within the retention. Four joined hosts that outrank both holders are neglected. */
    static constexpr std::size_t MaxStandbys = 3;
    /** Number of nodes that hold a record. */
    static constexpr std::size_t Holders = 2;
    /** Hosts that started within this time of each other count as started together: a fleet starts at one moment. */
    static constexpr core::Duration StartSpread = std::chrono::seconds(5);
    /**
     * A host that joined within this time may be unknown to other nodes. It holds the claim but does not count as the
     * standby: a node that knows neither it nor the home would become home with a standby that has no record.
     */
    static constexpr core::Duration ViewSpread = std::chrono::seconds(10);

    /**
     * @param claimName Name to be placed.
     * @param live Live hosts of the home data centre.
     * @param recent Live hosts and those that died within the retention, without those that left by plan. A host that
     * was taken for dead within the retention and is live again is listed once more, whether it crashed or not.
     * @param retention Lifetime of a record.
     */
    HomeOrder(std::string_view claimName,
              std::vector<core::HostId> live,
              std::vector<core::HostId> recent,
              core::Duration retention);

    /** @return The highest-ranked live host; empty without live hosts. */
    [[nodiscard]] core::HostId home() const;
    /** @return Live hosts after the home, by descending rank. */
    [[nodiscard]] std::vector<core::HostId> standbys() const;
    /** @return Whether a host that was recent in the earlier order has left by plan, or is forgotten, since. */
    [[nodiscard]] bool hasLostSince(const HomeOrder &earlier) const;

    /**
     * @param accepted Hosts that hold the claim, the home included, and how long each has kept claims.
     * @param memoryOf What is known of hosts that were not asked, or are gone.
     */
    [[nodiscard]] ClaimStep next(const std::map<core::HostId, core::Duration> &accepted,
                                 const MemoryOf &memoryOf) const;

    [[nodiscard]] bool operator==(const HomeOrder &) const = default;

private:
    using Accepted = std::map<core::HostId, core::Duration>;

    [[nodiscard]] bool isLive(const core::HostId &host) const;
    /** @return Whether the host was taken for dead within the retention and came back. */
    [[nodiscard]] bool wasAway(const core::HostId &host) const;
    /** @return Whether the records of the host are lost. */
    [[nodiscard]] bool isGone(const core::HostId &host, const Accepted &accepted) const;
    /** @return Number of live hosts, the home included, that are asked at most. */
    [[nodiscard]] std::size_t asked() const;
    [[nodiscard]] ClaimStep ask(std::size_t first, std::size_t end, bool needsOld, const MemoryOf &memoryOf) const;
    /** @return Whether two gone hosts rank above a host that was live whenever the name may have run. */
    [[nodiscard]] bool areBothGone(const core::HostId &member, const Accepted &accepted) const;
    [[nodiscard]] bool mayBeGone(const Accepted &accepted, const MemoryOf &memoryOf) const;

    std::vector<core::HostId> m_live; ///< By descending rank.
    std::vector<core::HostId> m_recent; ///< By descending rank; a host may occur more than once.
    core::Duration m_retention;
};

}
