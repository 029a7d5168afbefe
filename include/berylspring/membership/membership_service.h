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
    /** @brief Stops without a word to the other members; see leave(). */
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
     * of the snapshot are read: a range-for over `snapshot()->members()` would release it before the first step.
     */
    [[nodiscard]] std::shared_ptr<const MemberSnapshot> snapshot() const;
    /** @return All known members, this one and dead ones included. */
    [[nodiscard]] std::vector<Member> members() const;
    /** @return The alive and suspect members, this one included. */
    [[nodiscard]] std::vector<Member> liveMembers() const;
    [[nodiscard]] std::vector<core::HostId> liveHosts(const core::DataCentreId &dataCentre) const;
    /** @return The live hosts and those that died within the last 60 s, but not those that left. */
    [[nodiscard]] std::vector<core::HostId> recentHosts(const core::DataCentreId &dataCentre) const;
    /** @return The newest information on a member, newer than that of the snapshot. */
    [[nodiscard]] std::optional<Member> find(const core::HostId &host) const;
    [[nodiscard]] Member self() const;

    /** @brief Sets the own applied offset, which rides on pings and acks. */
    void setAppliedOffset(core::Offset offset);
    /** @brief Sets the own endpoint. A change of service, slots or draining is sent to all members at once. */
    void setEndpoint(const std::optional<wire::EndpointState> &endpoint);
    /** @brief Adds an address to try, for example from the log; the member is known once it answers. */
    void addContact(const wire::MemberUpdate &contact);
    /** @brief Tells 3 random members of the own data centre and 1 of another of the own applied offset. */
    void sendOffsetNotice();
    /** @brief Pings a member out of turn; its ack carries its applied offset. Unknown hosts are ignored. */
    void pingNow(const core::HostId &host);

    /**
     * @return When the newest ping was sent that got an ack; TimePoint{} before the first. The time of sending, since
     * the member was certainly alive and reachable only after it; a lease that counts from it is on the safe side.
     */
    [[nodiscard]] core::TimePoint lastPeerAck() const;
    /** @return When a member of another data centre was heard last. */
    [[nodiscard]] std::optional<core::TimePoint> lastHeardFromOtherDataCentre() const;
    /** @return Number of detected pauses of this process. */
    [[nodiscard]] std::uint64_t resumeCount() const;

private:
    std::shared_ptr<detail::ServiceState> m_state;
};

}
