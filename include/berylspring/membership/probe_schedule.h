#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/membership/member_snapshot.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace berylspring::membership {

/**
 * @brief Schedule of probes: each live member once per round, in a new random order each round.
 *
 * One member of the own data centre is due each LocalProbeInterval and one of the others each RemoteProbeInterval.
 * While a member of another data centre is suspect, one more member of that data centre is due each LocalProbeInterval:
 * if a whole data centre fails, no member inside it can detect that, and RemoteProbeInterval alone would be too slow.
 */
class ProbeSchedule
{
public:
    ProbeSchedule(core::HostId self, core::DataCentreId dataCentre);

    /**
     * @param now The current time.
     * @param snapshot Members for the next round.
     * @param suspectDataCentre Another data centre with a suspect member, if there is one.
     * @param isLive Whether a host of the running round is still to be probed.
     * @param randomBits Decides the order of a new round.
     * @return The members that are due, at most one per interval.
     */
    [[nodiscard]] std::vector<core::HostId> takeDue(core::TimePoint now,
                                                    const MemberSnapshot &snapshot,
                                                    const std::optional<core::DataCentreId> &suspectDataCentre,
                                                    const std::function<bool(const core::HostId &)> &isLive,
                                                    std::uint64_t randomBits);

private:
    struct Round
    {
        core::Duration interval;
        std::vector<core::HostId> remaining;
        std::optional<core::TimePoint> nextAt;
    };

    [[nodiscard]] bool isDue(Round &round, core::TimePoint now, std::uint64_t randomBits) const;
    static std::optional<core::HostId> next(Round &round,
                                            const std::vector<Member> &members,
                                            const std::function<bool(const Member &)> &isInRound,
                                            const std::function<bool(const core::HostId &)> &isLive,
                                            std::uint64_t randomBits);

    core::HostId m_self;
    core::DataCentreId m_dataCentre;
    std::mutex m_mutex;
    Round m_local;
    Round m_remote;
    Round m_suspectRound;
    std::optional<core::DataCentreId> m_suspectDataCentre;
};

/**
 * @brief Members that are asked to probe a target on behalf of this one.
 *
 * Two come from the data centre of the target and the rest from anywhere else, so that a partition between only
 * two data centres is bypassed through a third.
 */
[[nodiscard]] std::vector<Member> indirectProbers(const MemberSnapshot &snapshot,
                                                  const core::HostId &self,
                                                  const Member &target,
                                                  const core::RandomSource &random);

/** @return Up to count different members of the list that satisfy isWanted, in random order. */
[[nodiscard]] std::vector<Member> randomMembers(const std::vector<Member> &members,
                                                std::size_t count,
                                                const std::function<bool(const Member &)> &isWanted,
                                                const core::RandomSource &random);

}
