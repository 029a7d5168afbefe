#pragma once

#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/membership/actions.h"
#include "berylspring/membership/backlog.h"
#include "berylspring/membership/contact_book.h"
#include "berylspring/membership/local_health.h"
#include "berylspring/membership/member_snapshot.h"
#include "berylspring/membership/member_table.h"
#include "berylspring/membership/pending_pings.h"
#include "berylspring/membership/probe_schedule.h"
#include "berylspring/membership/self_record.h"
#include "berylspring/membership/settings.h"
#include "berylspring/membership/snapshot_cache.h"
#include "berylspring/membership/sync_schedule.h"
#include "berylspring/membership/tick_monitor.h"
#include "berylspring/membership/update_queue.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace berylspring::membership {

/**
 * @brief SWIM state machine of one member: takes the time and datagrams, returns what to send and report.
 *
 * It does no I/O and does not wait for events. Each part has its own mutex, so all methods may be called from several
 * threads. The random source is the only hook that is called, and under no lock of the table.
 */
class SwimProtocol
{
public:
    SwimProtocol(const MembershipSettings &settings, core::RandomSource random);

    void setPort(std::uint16_t port);

    /** @brief To be called each TickInterval. */
    [[nodiscard]] Actions tick(core::TimePoint now);
    /**
     * @param from Authenticated sender.
     * @param datagram Ignored if its record is not that of the sender.
     * @param now The current time.
     */
    [[nodiscard]] Actions receive(const core::HostId &from, const wire::Datagram &datagram, core::TimePoint now);

    /** @brief Changes the own endpoint. A change of service, slots or draining is pushed to all members at once. */
    [[nodiscard]] Actions setEndpoint(const std::optional<wire::EndpointState> &endpoint, core::TimePoint now);
    void setAppliedOffset(core::Offset offset);
    void addContact(const wire::MemberUpdate &record, core::TimePoint now);
    /** @brief Sends the own applied offset to 3 random members of the own data centre and 1 of another. */
    [[nodiscard]] Actions offsetNotice(core::TimePoint now);
    [[nodiscard]] Actions pingNow(const core::HostId &host, core::TimePoint now);
    /** @brief Notifies all live members that this one left. The rest of a large push follows with nextPushes(). */
    [[nodiscard]] Actions leave(core::TimePoint now);
    /** @return The next part of a running push; no datagrams when it is complete. */
    [[nodiscard]] Actions nextPushes(core::TimePoint now);

    [[nodiscard]] std::shared_ptr<const MemberSnapshot> snapshot(core::TimePoint now) const;
    [[nodiscard]] std::optional<Member> find(const core::HostId &host, core::TimePoint now) const;
    [[nodiscard]] Member self(core::TimePoint now) const;
    /** @return Send time of the newest ping that was acknowledged; TimePoint{} before the first. */
    [[nodiscard]] core::TimePoint lastPeerAck() const noexcept;
    /** @return When another member first answered a ping of this process; no value if none has. */
    [[nodiscard]] std::optional<core::TimePoint> firstPeerAck() const noexcept;
    [[nodiscard]] std::optional<core::TimePoint> lastContactWithOtherDataCentre() const noexcept;
    /** @return Number of pauses of this process that were detected. */
    [[nodiscard]] std::uint64_t resumeCount() const noexcept;
    [[nodiscard]] int healthScore() const;

private:
    /** Sequence number of unsolicited acks, which carry a part of the table. */
    static constexpr std::uint64_t UnsolicitedSequence = 0;

    void onPing(const wire::Ping &ping, core::TimePoint now, Actions &actions);
    void onPingAck(const wire::PingAck &ack, core::TimePoint now, Actions &actions);
    void onPingRequest(const wire::PingRequest &request, core::TimePoint now, Actions &actions);

    /** @return The local record of the sender if it contradicts the received one, for the sender to refute. */
    std::optional<wire::MemberUpdate>
    mergeSender(const wire::MemberUpdate &sender, core::TimePoint now, Actions &actions);
    void mergeUpdates(const core::HostId &from,
                      const std::vector<wire::MemberUpdate> &updates,
                      bool isTransfer,
                      core::TimePoint now,
                      Actions &actions);
    void checkOwnRecord(const wire::MemberUpdate &received, core::TimePoint now, Actions &actions);
    void handleChange(const Member &member, bool isGossiped, core::TimePoint now, Actions &actions);
    /** @return Whether no other member of its data centre is live, or it belongs to the own one. */
    [[nodiscard]] bool isFirstOfDataCentre(const Member &member, core::TimePoint now) const;
    void pingAddress(const PeerAddress &address,
                     const std::optional<wire::MemberUpdate> &first,
                     core::TimePoint now,
                     Actions &actions);

    void resume(core::TimePoint now, Actions &actions);
    /** @return Another data centre with a suspect member, if there is one. */
    std::optional<core::DataCentreId> expire(core::TimePoint now, Actions &actions);
    void checkProbes(core::TimePoint now, Actions &actions);
    void startProbes(const std::optional<core::DataCentreId> &suspectDataCentre, core::TimePoint now, Actions &actions);
    void tryContacts(core::TimePoint now, Actions &actions);
    void requestSync(core::TimePoint now, Actions &actions);
    void sendBacklog(core::TimePoint now, Actions &actions);

    void announceSelf(std::size_t fanout, core::TimePoint now, Actions &actions);
    void pushToAll(core::TimePoint now);
    void sendPing(const Member &target, bool isProbe, core::TimePoint now, Actions &actions);
    void sendSync(const SyncPart &part, core::TimePoint now, Actions &actions);
    void sendOwnRecord(const Member &target, Actions &actions);
    /** @brief Sends the own record to a member to which a change of it is pushed. */
    void pushOwnRecord(const Member &target, Actions &actions);
    [[nodiscard]] std::vector<wire::MemberUpdate>
    collectUpdates(const std::optional<wire::MemberUpdate> &first, std::size_t usedBytes, core::TimePoint now);
    [[nodiscard]] std::uint64_t nextSequence() noexcept;
    [[nodiscard]] bool isSelf(const core::HostId &host) const noexcept;

    core::HostId m_host;
    core::DataCentreId m_dataCentre;
    core::RandomSource m_random;
    std::atomic<std::uint64_t> m_sequence;

    SelfRecord m_self;
    MemberTable m_table;
    SnapshotCache m_snapshots;
    ProbeSchedule m_probeSchedule;
    PendingPings m_pings;
    LocalHealth m_health;
    TickMonitor m_tickMonitor;
    UpdateQueue m_updates;
    ContactBook m_contacts;
    Backlog m_backlog;
    SyncSchedule m_syncSchedule;

    std::atomic<core::TimePoint> m_lastPeerAck{core::TimePoint{}};
    std::atomic<core::TimePoint> m_firstPeerAck{core::TimePoint::max()}; ///< The maximum before the first one.
    std::atomic<core::TimePoint> m_lastRemoteContact{core::TimePoint::min()};
    std::atomic<std::uint64_t> m_resumeCount{0};
};

}
