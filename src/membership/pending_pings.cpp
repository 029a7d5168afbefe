#include "berylspring/membership/pending_pings.h"

#include "berylspring/membership/timing.h"

#include <utility>

namespace berylspring::membership {

namespace {

/** Pings that are not probes, and relayed pings, are discarded after this time; round trips are far shorter. */
constexpr core::Duration PlainPingLifetime = 5s;

}

void PendingPings::add(std::uint64_t sequence, PendingPing ping)
{
    const std::scoped_lock lock(m_mutex);
    m_pings.insert_or_assign(sequence, std::move(ping));
}

void PendingPings::addRelay(std::uint64_t sequence, RelayedPing relay)
{
    const std::scoped_lock lock(m_mutex);
    m_relays.insert_or_assign(sequence, std::move(relay));
}

std::optional<PendingPing> PendingPings::takeAnswered(std::uint64_t sequence, const core::HostId &target)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_pings.find(sequence);
    if (found == m_pings.end() || (!found->second.target.isEmpty() && found->second.target != target)) {
        return std::nullopt;
    }
    auto ping = std::move(found->second);
    m_pings.erase(found);
    m_extensions.erase(sequence);
    return ping;
}

std::optional<RelayedPing> PendingPings::takeAnsweredRelay(std::uint64_t sequence, const core::HostId &target)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_relays.find(sequence);
    if (found == m_relays.end() || found->second.target != target) {
        return std::nullopt;
    }
    auto relay = std::move(found->second);
    m_relays.erase(found);
    return relay;
}

OverdueProbes PendingPings::overdue(core::TimePoint now, int timeoutFactor)
{
    const std::scoped_lock lock(m_mutex);
    OverdueProbes result;
    for (auto entry = m_pings.begin(); entry != m_pings.end();) {
        auto &[sequence, ping] = *entry;
        const auto extension = m_extensions.find(sequence);
        const auto age = now - ping.sentAt - (extension == m_extensions.end() ? core::Duration{} : extension->second);
        const auto timeout = ping.ackTimeout * timeoutFactor;
        const bool isOver = ping.isProbe ? age >= 2 * timeout : age >= PlainPingLifetime;
        if (isOver) {
            if (ping.isProbe) {
                result.failed.push_back({sequence, ping});
            }
            m_extensions.erase(sequence);
            entry = m_pings.erase(entry);
            continue;
        }
        if (ping.isProbe && !ping.isIndirect && age >= timeout) {
            ping.isIndirect = true;
            result.unanswered.push_back({sequence, ping});
        }
        ++entry;
    }
    std::erase_if(m_relays, [&](const auto &relay) { return now - relay.second.sentAt >= PlainPingLifetime; });
    return result;
}

void PendingPings::extendProbes(core::Duration gap)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &[sequence, ping] : m_pings) {
        if (ping.isProbe) {
            m_extensions[sequence] += gap;
        }
    }
}

void PendingPings::clear()
{
    const std::scoped_lock lock(m_mutex);
    m_pings.clear();
    m_extensions.clear();
}

}
