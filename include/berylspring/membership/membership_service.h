#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/membership/error.h"
#include "berylspring/membership/hooks.h"
#include "berylspring/membership/member.h"
#include "berylspring/membership/member_snapshot.h"
#include "berylspring/membership/settings.h"
#include "berylspring/wire/datagrams.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace berylspring::membership {

namespace detail {
class ServiceState;
}

/** @brief The UDP socket and the timer of the membership. All methods may be called from several threads. */
class MembershipService
{
public:
    /** @param executor Runs the receiving and the timer, on a strand of its own. */
    MembershipService(const boost::asio::any_io_executor &executor,
                      const MembershipSettings &settings,
                      MembershipHooks hooks);
    /** @brief Stops without notifying the other members; see leave(). */
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    /**
     * @brief Binds the UDP port and starts to contact the seeds.
     * @return The bound port.
     */
    [[nodiscard]] Result<std::uint16_t> start();
    /** @brief Announces to all live members that this one left, and stops. */
    [[nodiscard]] boost::asio::awaitable<void> leave();

    /**
     * @return All members at one moment; the cheapest way to read many. Keep the pointer in a variable while the lists
     * of the snapshot are read: a range-for over `snapshot()->members()` would release it before the first iteration.
     */
    [[nodiscard]] std::shared_ptr<const MemberSnapshot> snapshot() const;
    /** @return All known members, this one and dead ones included. */
    [[nodiscard]] std::vector<Member> members() const;
    /** @return The alive and suspect members, this one included. */
    [[nodiscard]] std::vector<Member> liveMembers() const;
    [[nodiscard]] std::vector<core::HostId> liveHosts(const core::DataCentreId &dataCentre) const;
    /** @return The live hosts and those that died within DeadRetention, but not those that left. */
    [[nodiscard]] std::vector<core::HostId> recentHosts(const core::DataCentreId &dataCentre) const;
    /** @return The current state of a member, which may be newer than that in the snapshot. */
    [[nodiscard]] std::optional<Member> find(const core::HostId &host) const;
    [[nodiscard]] Member self() const;

    /** @brief Sets the own applied offset, which all pings and acks carry. */
    void setAppliedOffset(core::Offset offset);
    /** @brief Sets the own endpoint. A change of service, slots or draining is sent to all members at once. */
    void setEndpoint(const std::optional<wire::EndpointState> &endpoint);
    /** @brief Adds an address to try, for example from the log; the member is known once it answers. */
    void addContact(const wire::MemberUpdate &contact);
    /** @brief Sends the own applied offset to 3 random members of the own data centre and 1 of another. */
    void sendOffsetNotice();
    /** @brief Pings a member outside the probe schedule; the ack carries its applied offset. Ignores unknown hosts. */
    void pingNow(const core::HostId &host);

    /**
     * @return Send time of the newest ping that was acknowledged; TimePoint{} before the first. The member was
     * reachable at some moment after it, so a lease that counts from the send time never ends too late.
     */
    [[nodiscard]] core::TimePoint lastPeerAck() const;
    /** @return When another member first answered a ping of this process; no value if none has. */
    [[nodiscard]] std::optional<core::TimePoint> firstPeerAck() const;
    /** @return When the last datagram from another data centre arrived. */
    [[nodiscard]] std::optional<core::TimePoint> lastContactWithOtherDataCentre() const;
    /** @return Number of detected pauses of this process. */
    [[nodiscard]] std::uint64_t resumeCount() const;

private:
    std::shared_ptr<detail::ServiceState> m_state;
};

}
