#include "berylspring/membership/probe_schedule.h"

#include "berylspring/membership/timing.h"

#include <algorithm>
#include <random>
#include <utility>

namespace berylspring::membership {

namespace {

constexpr std::size_t ProbersFromTargetsDataCentre = 2;

}

ProbeSchedule::ProbeSchedule(core::HostId self, core::DataCentreId dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_local{LocalProbeInterval, {}, {}}
    , m_remote{RemoteProbeInterval, {}, {}}
    , m_suspectRound{SuspectProbeInterval, {}, {}}
{
}

std::vector<core::HostId> ProbeSchedule::takeDue(core::TimePoint now,
                                                 const MemberSnapshot &snapshot,
                                                 const std::optional<core::DataCentreId> &suspectDataCentre,
                                                 const std::function<bool(const core::HostId &)> &isLive,
                                                 std::uint64_t randomBits)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<core::HostId> hosts;
    const auto advance = [&](Round &round, const std::vector<Member> &members, const auto &isInRound) {
        if (isDue(round, now, randomBits)) {
            if (auto host = next(round, members, isInRound, isLive, randomBits)) {
                hosts.push_back(std::move(*host));
            }
        }
    };
    advance(
        m_local, snapshot.liveMembers(m_dataCentre), [this](const Member &member) { return member.host() != m_self; });
    advance(
        m_remote, snapshot.liveMembers(), [this](const Member &member) { return member.dataCentre() != m_dataCentre; });
    if (suspectDataCentre != m_suspectDataCentre) {
        m_suspectDataCentre = suspectDataCentre;
        m_suspectRound.remaining.clear();
    }
    if (m_suspectDataCentre) {
        advance(m_suspectRound, snapshot.liveMembers(*m_suspectDataCentre), [](const Member &) { return true; });
    }
    return hosts;
}

bool ProbeSchedule::isDue(Round &round, core::TimePoint now, std::uint64_t randomBits) const
{
    if (!round.nextAt) {
        // A random offset spreads the probes of members that start together over the interval.
        const auto offset = randomBits % static_cast<std::uint64_t>(round.interval.count());
        round.nextAt = now + core::Duration(static_cast<core::Duration::rep>(offset));
    }
    if (now < *round.nextAt) {
        return false;
    }
    // Missed intervals are skipped: a burst of probes after a late tick would only add load.
    round.nextAt = std::max(*round.nextAt + round.interval, now);
    return true;
}

std::optional<core::HostId> ProbeSchedule::next(Round &round,
                                                const std::vector<Member> &members,
                                                const std::function<bool(const Member &)> &isInRound,
                                                const std::function<bool(const core::HostId &)> &isLive,
                                                std::uint64_t randomBits)
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!round.remaining.empty()) {
            auto host = std::move(round.remaining.back());
            round.remaining.pop_back();
            if (isLive(host)) {
                return host;
            }
        }
        for (const auto &member : members) {
            if (isInRound(member)) {
                round.remaining.push_back(member.host());
            }
        }
        std::shuffle(round.remaining.begin(), round.remaining.end(), std::mt19937_64(randomBits));
    }
    return std::nullopt;
}

std::vector<Member> randomMembers(const std::vector<Member> &members,
                                  std::size_t count,
                                  const std::function<bool(const Member &)> &isWanted,
                                  const core::RandomSource &random)
{
    std::vector<Member> chosen;
    if (members.empty()) {
        return chosen;
    }
    // Random picks are fast if many members are wanted; otherwise the list is scanned from a random start.
    const auto isEligible = [&](const Member &member) {
        return isWanted(member) && std::none_of(chosen.begin(), chosen.end(), [&](const Member &other) {
                   return other.host() == member.host();
               });
    };
    for (std::size_t attempt = 0; attempt < 4 * count && chosen.size() < count; ++attempt) {
        const auto &member = members[random() % members.size()];
        if (isEligible(member)) {
            chosen.push_back(member);
        }
    }
    const auto start = random() % members.size();
    for (std::size_t i = 0; i < members.size() && chosen.size() < count; ++i) {
        const auto &member = members[(start + i) % members.size()];
        if (isEligible(member)) {
            chosen.push_back(member);
        }
    }
    return chosen;
}

std::vector<Member> indirectProbers(const MemberSnapshot &snapshot,
                                    const core::HostId &self,
                                    const Member &target,
                                    const core::RandomSource &random)
{
    const auto isHelper = [&](const Member &member) {
        return member.host() != self && member.host() != target.host() && member.state() == wire::MemberState::Alive;
    };
    auto helpers =
        randomMembers(snapshot.liveMembers(target.dataCentre()), ProbersFromTargetsDataCentre, isHelper, random);
    const auto others = randomMembers(
        snapshot.liveMembers(),
        IndirectProbeCount - helpers.size(),
        [&](const Member &member) {
            return isHelper(member) && std::none_of(helpers.begin(), helpers.end(), [&](const Member &helper) {
                       return helper.host() == member.host();
                   });
        },
        random);
    helpers.insert(helpers.end(), others.begin(), others.end());
    return helpers;
}

}
