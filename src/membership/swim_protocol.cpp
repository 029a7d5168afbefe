#include "berylspring/membership/swim_protocol.h"

#include "berylspring/membership/datagram_size.h"
#include "berylspring/membership/timing.h"

#include <utility>

namespace berylspring::membership {

SwimProtocol::SwimProtocol(const MembershipSettings &settings, core::RandomSource random)
    : m_host(settings.host)
    , m_dataCentre(settings.dataCentre)
    , m_random(std::move(random))
    // A random start keeps acks to an earlier process of this host from matching pings of this one.
    , m_sequence(m_random())
    , m_self(settings)
    , m_probeSchedule(settings.host, settings.dataCentre)
    , m_contacts(PeerAddress{settings.address, settings.port}, settings.seeds)
{
}

void SwimProtocol::setPort(std::uint16_t port)
{
    m_self.setPort(port);
    m_contacts.setOwnAddress(PeerAddress{m_self.record()->address, port});
}

Actions SwimProtocol::tick(core::TimePoint now)
{
    Actions actions;
    if (m_self.record()->state == wire::MemberState::Left) {
        return actions;
    }
    const auto observed = m_tickMonitor.observe(now);
    if (observed.lateness > core::Duration::zero()) {
        // Acks and refutations that arrived meanwhile are still in the socket, so deadlines move by the lost time.
        m_health.recordLateTick();
        m_table.extendSuspicions(observed.lateness);
        m_pings.extendProbes(observed.lateness);
    }
    if (observed.isPause) {
        resume(now, actions);
    }
    const auto suspectDataCentre = expire(now, actions);
    checkProbes(now, actions);
    startProbes(suspectDataCentre, now, actions);
    tryContacts(now, actions);
    requestSync(now, actions);
    sendBacklog(now, actions);
    return actions;
}

void SwimProtocol::resume(core::TimePoint now, Actions &actions)
{
    ++m_resumeCount;
    m_self.raiseIncarnation();
    m_pings.clear();
    m_syncSchedule.request(std::nullopt);
    announceSelf(RefutationFanout, now, actions);
}

std::optional<core::DataCentreId> SwimProtocol::expire(core::TimePoint now, Actions &actions)
{
    const auto outcome = m_table.expire(now, m_health.suspicionTime());
    const auto liveCount = snapshot(now)->liveMembers().size();
    for (const auto &suspect : outcome.toVerify) {
        if (m_random() % liveCount < RefutationFanout) {
            sendPing(suspect, false, now, actions);
        }
    }
    for (const auto &dead : outcome.died) {
        handleChange(dead, true, now, actions);
    }
    for (const auto &suspect : outcome.suspects) {
        if (suspect.dataCentre() != m_dataCentre) {
            return suspect.dataCentre();
        }
    }
    return std::nullopt;
}

void SwimProtocol::checkProbes(core::TimePoint now, Actions &actions)
{
    const auto overdue = m_pings.overdue(now, m_health.ackTimeoutFactor());
    for (const auto &probe : overdue.unanswered) {
        const auto target = m_table.find(probe.ping.target);
        if (!target || !target->isLive()) {
            continue;
        }
        wire::PingRequestFields request{probe.sequence, target->host(), m_self.record()};
        const wire::PingRequest datagram(std::move(request));
        for (const auto &helper : indirectProbers(*snapshot(now), m_host, *target, m_random)) {
            actions.datagrams.push_back({PeerAddress{helper.address(), helper.port()}, datagram});
        }
    }
    for (const auto &probe : overdue.failed) {
        if (const auto suspect = m_table.suspect(probe.ping.target, probe.ping.incarnation, now)) {
            // Missed acks from other data centres point to a partition rather than to this process, and repeated ones
            // from one member point to that member.
            if (probe.ping.isLocal) {
                m_health.recordMissedAck();
            }

            handleChange(*suspect, true, now, actions);
            sendPing(*suspect, false, now, actions);
        }
    }
}

void SwimProtocol::startProbes(const std::optional<core::DataCentreId> &suspectDataCentre,
                               core::TimePoint now,
                               Actions &actions)
{
    const auto isLive = [this](const core::HostId &host) {
        const auto member = m_table.find(host);
        return member && member->isLive();
    };
    for (const auto &host : m_probeSchedule.takeDue(now, *snapshot(now), suspectDataCentre, isLive, m_random())) {
        if (const auto member = m_table.find(host)) {
            sendPing(*member, true, now, actions);
        }
    }
}

void SwimProtocol::tryContacts(core::TimePoint now, Actions &actions)
{
    const auto members = snapshot(now);
    const auto isReachable = [&](const core::DataCentreId &dataCentre) {
        const std::size_t own = dataCentre == m_dataCentre ? 1 : 0;
        return members->liveHosts(dataCentre).size() > own;
    };
    std::vector<Contact> contacts = m_contacts.takeInitial(m_dataCentre, InitialContactsPerTick, now);
    const bool isAlone = members->liveMembers().size() <= 1;
    if (auto contact = m_contacts.takeDue(now, isReachable, isAlone, m_random())) {
        contacts.push_back(std::move(*contact));
    }
    for (const Contact &contact : contacts) {
        const auto known = m_table.find(contact.host);
        pingAddress(contact.address, known ? std::optional(known->record()) : std::nullopt, now, actions);
    }
}

void SwimProtocol::pingAddress(const PeerAddress &address,
                               const std::optional<wire::MemberUpdate> &first,
                               core::TimePoint now,
                               Actions &actions)
{
    wire::PingFields ping;
    ping.sequence = nextSequence();
    ping.sender = m_self.record();
    if (first) {
        ping.updates.push_back(*first);
    }
    PendingPing pending;
    pending.sentAt = now;
    m_pings.add(ping.sequence, std::move(pending));
    actions.datagrams.push_back({address, wire::Ping(std::move(ping))});
}

void SwimProtocol::requestSync(core::TimePoint now, Actions &actions)
{
    const auto step = m_syncSchedule.next(now);
    if (!step.isDue) {
        return;
    }
    std::optional<Member> source;
    if (step.from) {
        source = m_table.find(*step.from);
    } else {
        // Members of the own data centre know the others as well, and bytes between data centres are dear.
        const auto isOther = [this](const Member &member) { return !isSelf(member.host()); };
        const auto members = snapshot(now);
        auto chosen = randomMembers(members->liveMembers(m_dataCentre), 1, isOther, m_random);
        if (chosen.empty()) {
            chosen = randomMembers(members->liveMembers(), 1, isOther, m_random);
        }
        if (!chosen.empty()) {
            source = chosen.front();
        }
    }
    if (source) {
        m_syncSchedule.markRequested(now);
        wire::PingRequestFields request{nextSequence(), m_host, m_self.record()};
        actions.datagrams.push_back(
            {PeerAddress{source->address(), source->port()}, wire::PingRequest(std::move(request))});
    }
}

Actions SwimProtocol::receive(const core::HostId &from, const wire::Datagram &datagram, core::TimePoint now)
{
    Actions actions;
    const auto &sender =
        std::visit([](const auto &message) -> const wire::MemberUpdate & { return message->sender; }, datagram);
    if (sender->host != from || isSelf(from)) {
        return actions;
    }
    if (const auto *ping = std::get_if<wire::Ping>(&datagram)) {
        onPing(*ping, now, actions);
    } else if (const auto *ack = std::get_if<wire::PingAck>(&datagram)) {
        onPingAck(*ack, now, actions);
    } else if (const auto *request = std::get_if<wire::PingRequest>(&datagram)) {
        onPingRequest(*request, now, actions);
    } else {
        mergeSender(sender, now, actions);
    }
    return actions;
}

void SwimProtocol::onPing(const wire::Ping &ping, core::TimePoint now, Actions &actions)
{
    const auto &sender = ping->sender;
    const auto contradiction = mergeSender(sender, now, actions);
    mergeUpdates(sender->host, ping->updates, false, now, actions);
    if (sender->state == wire::MemberState::Left) {
        return;
    }
    wire::PingAckFields ack;
    ack.sequence = ping->sequence;
    ack.target = m_host;
    ack.sender = m_self.record();
    const auto used = estimatedBytes(wire::Datagram(wire::PingAck(ack)));
    ack.updates = collectUpdates(contradiction, used, now);
    actions.datagrams.push_back({PeerAddress{sender->address, sender->port}, wire::PingAck(std::move(ack))});
}

void SwimProtocol::onPingAck(const wire::PingAck &ack, core::TimePoint now, Actions &actions)
{
    const auto &sender = ack->sender;
    const auto contradiction = mergeSender(sender, now, actions);
    mergeUpdates(sender->host, ack->updates, ack->sequence == UnsolicitedSequence, now, actions);
    if (const auto relay = m_pings.takeAnsweredRelay(ack->sequence, ack->target)) {
        wire::PingAckFields relayed{relay->sequence, relay->target, m_self.record(), {sender}};
        actions.datagrams.push_back({relay->requester, wire::PingAck(std::move(relayed))});
        return;
    }
    const auto ping = m_pings.takeAnswered(ack->sequence, ack->target);
    if (!ping) {
        return;
    }
    if (ack->target == sender->host && ping->sentAt > m_lastPeerAck.load()) {
        m_lastPeerAck.store(ping->sentAt);
        auto none = core::TimePoint::max();
        m_firstPeerAck.compare_exchange_strong(none, now);
    }
    if (ping->isProbe) {
        m_health.recordAck();
    }
    if (ping->target.isEmpty() && contradiction) {
        pingAddress(PeerAddress{sender->address, sender->port}, contradiction, now, actions);
    }
}

void SwimProtocol::onPingRequest(const wire::PingRequest &request, core::TimePoint now, Actions &actions)
{
    const auto &sender = request->sender;
    mergeSender(sender, now, actions);
    if (request->target == sender->host) {
        std::vector<core::HostId> hosts;
        const auto members = snapshot(now);
        for (const auto &member : members->members()) {
            if (!isSelf(member.host()) && member.host() != sender->host) {
                hosts.push_back(member.host());
            }
        }
        m_backlog.sync(sender->host, hosts);
        return;
    }
    const auto target = m_table.find(request->target);
    if (!target) {
        return;
    }
    wire::PingFields ping{nextSequence(), m_self.record(), {}};
    if (target->state() != wire::MemberState::Alive) {
        ping.updates.push_back(target->record());
    }
    m_pings.addRelay(ping.sequence,
                     RelayedPing{PeerAddress{sender->address, sender->port}, request->sequence, target->host(), now});
    actions.datagrams.push_back({PeerAddress{target->address(), target->port()}, wire::Ping(std::move(ping))});
}

std::optional<wire::MemberUpdate>
SwimProtocol::mergeSender(const wire::MemberUpdate &sender, core::TimePoint now, Actions &actions)
{
    const auto outcome = m_table.merge(sender, RecordSource::Member, now);
    if (outcome.changed) {
        handleChange(*outcome.changed, true, now, actions);
    }
    actions.offsets.push_back({sender->host, sender->appliedOffset});
    if (sender->dataCentre != m_dataCentre) {
        m_lastRemoteContact.store(now);
    }
    return outcome.contradiction ? std::optional(outcome.contradiction->record()) : std::nullopt;
}

void SwimProtocol::mergeUpdates(const core::HostId &from,
                                const std::vector<wire::MemberUpdate> &updates,
                                bool isTransfer,
                                core::TimePoint now,
                                Actions &actions)
{
    for (const auto &update : updates) {
        if (isSelf(update->host)) {
            checkOwnRecord(update, now, actions);
            continue;
        }
        if (update->host == from) {
            continue;
        }
        const auto outcome = m_table.merge(update, RecordSource::Other, now);
        if (outcome.changed) {
            // Members learned from the transfer of a large table are new only here: gossiping them would fill all
            // datagrams for minutes. In a small table it helps if many members start together.
            const bool isGossiped = !(outcome.isNew && isTransfer && m_table.size() > MaxGossipedTableSize);

            handleChange(*outcome.changed, isGossiped, now, actions);
        }
        if (outcome.hasHigherOffset) {
            actions.offsets.push_back({update->host, update->appliedOffset});
        }
    }
}

void SwimProtocol::checkOwnRecord(const wire::MemberUpdate &received, core::TimePoint now, Actions &actions)
{
    if (m_self.refute(received)) {
        announceSelf(RefutationFanout, now, actions);
    }
}

void SwimProtocol::handleChange(const Member &member, bool isGossiped, core::TimePoint now, Actions &actions)
{
    actions.changed.push_back(member);
    if (isGossiped) {
        m_updates.add(member.host());
    }
    if (!member.isLive()) {
        m_contacts.add(member.record(), now);
    } else if (m_contacts.markLive(member) && member.lastSeenAt() == now) {
        // The member was unreachable, and others that were removed from the table may be reachable through it. Further
        // members of another data centre bring nothing that the first one has not told to the own data centre.
        m_syncSchedule.request(isFirstOfDataCentre(member, now) ? std::optional(member.host()) : std::nullopt);
    }
}

bool SwimProtocol::isFirstOfDataCentre(const Member &member, core::TimePoint now) const
{
    return member.dataCentre() == m_dataCentre || snapshot(now)->liveHosts(member.dataCentre()).size() <= 1;
}

Actions SwimProtocol::setEndpoint(const std::optional<wire::EndpointState> &endpoint, core::TimePoint now)
{
    if (!m_self.setEndpoint(endpoint)) {
        return {};
    }
    pushToAll(now);
    return nextPushes(now);
}

void SwimProtocol::setAppliedOffset(core::Offset offset)
{
    m_self.setAppliedOffset(offset);
}

void SwimProtocol::addContact(const wire::MemberUpdate &record, core::TimePoint now)
{
    const auto known = m_table.find(record->host);
    if (!isSelf(record->host) && !(known && known->isLive())) {
        m_contacts.add(record, now);
    }
}

Actions SwimProtocol::offsetNotice(core::TimePoint now)
{
    constexpr std::size_t LocalReceiverCount = 3;
    constexpr std::size_t RemoteReceiverCount = 1;
    const auto members = snapshot(now);
    const auto isOther = [this](const Member &member) { return !isSelf(member.host()); };
    const auto isRemote = [this](const Member &member) { return member.dataCentre() != m_dataCentre; };
    auto receivers = randomMembers(members->liveMembers(m_dataCentre), LocalReceiverCount, isOther, m_random);
    const auto remoteReceivers = randomMembers(members->liveMembers(), RemoteReceiverCount, isRemote, m_random);
    receivers.insert(receivers.end(), remoteReceivers.begin(), remoteReceivers.end());
    Actions actions;
    const wire::OffsetNotice notice(wire::OffsetNoticeFields{m_self.record()});
    for (const auto &receiver : receivers) {
        actions.datagrams.push_back({PeerAddress{receiver.address(), receiver.port()}, notice});
    }
    return actions;
}

Actions SwimProtocol::pingNow(const core::HostId &host, core::TimePoint now)
{
    Actions actions;
    if (const auto member = m_table.find(host)) {
        sendPing(*member, false, now, actions);
    }
    return actions;
}

Actions SwimProtocol::leave(core::TimePoint now)
{
    m_self.leave();
    pushToAll(now);
    return nextPushes(now);
}

std::shared_ptr<const MemberSnapshot> SwimProtocol::snapshot(core::TimePoint now) const
{
    return m_snapshots.current(m_table, m_self, now);
}

std::optional<Member> SwimProtocol::find(const core::HostId &host, core::TimePoint now) const
{
    return isSelf(host) ? std::optional(self(now)) : m_table.find(host);
}

Member SwimProtocol::self(core::TimePoint now) const
{
    return m_self.member(now);
}

core::TimePoint SwimProtocol::lastPeerAck() const noexcept
{
    return m_lastPeerAck.load();
}

std::optional<core::TimePoint> SwimProtocol::firstPeerAck() const noexcept
{
    const auto firstAck = m_firstPeerAck.load();
    return firstAck == core::TimePoint::max() ? std::nullopt : std::optional(firstAck);
}

std::optional<core::TimePoint> SwimProtocol::lastContactWithOtherDataCentre() const noexcept
{
    const auto lastContact = m_lastRemoteContact.load();
    return lastContact == core::TimePoint::min() ? std::nullopt : std::optional(lastContact);
}

std::uint64_t SwimProtocol::resumeCount() const noexcept
{
    return m_resumeCount.load();
}

int SwimProtocol::healthScore() const
{
    return m_health.score();
}

bool SwimProtocol::isSelf(const core::HostId &host) const noexcept
{
    return host == m_host;
}

std::uint64_t SwimProtocol::nextSequence() noexcept
{
    return ++m_sequence;
}

}
