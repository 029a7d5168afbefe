#include "berylspring/membership/datagram_size.h"
#include "berylspring/membership/swim_protocol.h"
#include "berylspring/membership/timing.h"

#include <utility>

namespace berylspring::membership {

namespace {

PeerAddress addressOf(const Member &member)
{
    return {member.address(), member.port()};
}

/** The record of a member that is not alive here, to be sent to it first so that it can refute it. */
std::optional<wire::MemberUpdate> recordToRefute(const Member &member)
{
    return member.state() == wire::MemberState::Alive ? std::nullopt : std::optional(member.record());
}

}

void SwimProtocol::sendPing(const Member &target, bool isProbe, core::TimePoint now, Actions &actions)
{
    wire::PingFields ping{nextSequence(), m_self.record(), {}};
    const auto used = estimatedBytes(wire::Datagram(wire::Ping(ping)));
    ping.updates = collectUpdates(recordToRefute(target), used, now);
    PendingPing pending;
    pending.target = target.host();
    pending.incarnation = target.incarnation();
    pending.sentAt = now;
    pending.isLocal = target.dataCentre() == m_dataCentre;
    pending.ackTimeout = pending.isLocal ? LocalAckTimeout : RemoteAckTimeout;
    pending.isProbe = isProbe;
    m_pings.add(ping.sequence, std::move(pending));
    actions.datagrams.push_back({addressOf(target), wire::Ping(std::move(ping))});
}

void SwimProtocol::pushOwnRecord(const Member &target, Actions &actions)
{
    if (target.dataCentre() == m_dataCentre || target.state() != wire::MemberState::Alive) {
        sendOwnRecord(target, actions);
        return;
    }
    // An unsolicited ack needs no reply, which saves half of the bytes between data centres.
    wire::PingAckFields ack{UnsolicitedSequence, m_host, m_self.record(), {}};
    actions.datagrams.push_back({addressOf(target), wire::PingAck(std::move(ack))});
}

void SwimProtocol::sendOwnRecord(const Member &target, Actions &actions)
{
    wire::PingFields ping{nextSequence(), m_self.record(), {}};
    if (auto record = recordToRefute(target)) {
        ping.updates.push_back(std::move(*record));
    }
    actions.datagrams.push_back({addressOf(target), wire::Ping(std::move(ping))});
}

void SwimProtocol::announceSelf(std::size_t fanout, core::TimePoint now, Actions &actions)
{
    const auto isOther = [this](const Member &member) { return !isSelf(member.host()); };
    for (const auto &member : randomMembers(snapshot(now)->liveMembers(), fanout, isOther, m_random)) {
        sendOwnRecord(member, actions);
    }
}

void SwimProtocol::pushToAll(core::TimePoint now)
{
    std::vector<core::HostId> receivers;
    const auto members = snapshot(now);
    for (const auto &member : members->liveMembers()) {
        if (!isSelf(member.host())) {
            receivers.push_back(member.host());
        }
    }
    m_backlog.push(std::move(receivers));
}

Actions SwimProtocol::nextPushes(core::TimePoint now)
{
    Actions actions;
    for (const auto &host : m_backlog.nextPushes(PushesPerTick)) {
        if (const auto member = find(host, now)) {
            pushOwnRecord(*member, actions);
        }
    }
    return actions;
}

void SwimProtocol::sendBacklog(core::TimePoint now, Actions &actions)
{
    auto pushes = nextPushes(now);
    std::move(pushes.datagrams.begin(), pushes.datagrams.end(), std::back_inserter(actions.datagrams));
    for (const auto &part : m_backlog.nextSyncs(SyncDatagramsPerTick * MaxUpdatesPerDatagram)) {
        sendSync(part, now, actions);
    }
}

void SwimProtocol::sendSync(const SyncPart &part, core::TimePoint now, Actions &actions)
{
    const auto receiver = find(part.receiver, now);
    if (!receiver) {
        return;
    }
    // The records are sent in unsolicited acks, which need no reply.
    wire::PingAckFields ack{UnsolicitedSequence, m_host, m_self.record(), {}};
    const auto emptyBytes = estimatedBytes(wire::Datagram(wire::PingAck(ack)));
    auto bytes = emptyBytes;
    const auto flush = [&] {
        if (!ack.updates.empty()) {
            actions.datagrams.push_back({addressOf(*receiver), wire::PingAck(ack)});
            ack.updates.clear();
            bytes = emptyBytes;
        }
    };
    for (const auto &host : part.hosts) {
        const auto member = m_table.find(host);
        if (!member) {
            continue;
        }
        const auto size = estimatedBytes(member->record());
        if (bytes + size > MaxDatagramBytes || ack.updates.size() == MaxUpdatesPerDatagram) {
            flush();
        }
        ack.updates.push_back(member->record());
        bytes += size;
    }
    flush();
}

std::vector<wire::MemberUpdate>
SwimProtocol::collectUpdates(const std::optional<wire::MemberUpdate> &first, std::size_t usedBytes, core::TimePoint now)
{
    std::vector<wire::MemberUpdate> updates;
    auto bytes = usedBytes;
    if (first) {
        updates.push_back(*first);
        bytes += estimatedBytes(*first);
    }
    const auto limit = transmissionLimit(snapshot(now)->liveMembers().size());
    for (const auto &host : m_updates.first(MaxUpdatesPerDatagram)) {
        const auto member = m_table.find(host);
        if (!member) {
            m_updates.remove(host);
            continue;
        }
        const auto size = estimatedBytes(member->record());
        if (updates.size() == MaxUpdatesPerDatagram || bytes + size > MaxDatagramBytes) {
            break;
        }
        if (!first || (*first)->host != host) {
            updates.push_back(member->record());
            bytes += size;
        }
        m_updates.markSent(host, limit);
    }
    return updates;
}

}
