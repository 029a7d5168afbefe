#include "berylspring/membership/membership_service.h"

#include "service_state.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace berylspring::membership {

MembershipService::MembershipService(const boost::asio::any_io_executor &executor,
                                     const MembershipSettings &settings,
                                     MembershipHooks hooks)
    : m_state(std::make_shared<detail::ServiceState>(executor, settings, std::move(hooks)))
{
}

MembershipService::~MembershipService()
{
    m_state->stop();
}

Result<std::uint16_t> MembershipService::start()
{
    return m_state->start();
}

boost::asio::awaitable<void> MembershipService::leave()
{
    return detail::ServiceState::leave(m_state);
}

std::shared_ptr<const MemberSnapshot> MembershipService::snapshot() const
{
    return m_state->protocol().snapshot(m_state->now());
}

std::vector<Member> MembershipService::members() const
{
    return snapshot()->members();
}

std::vector<Member> MembershipService::liveMembers() const
{
    return snapshot()->liveMembers();
}

std::vector<core::HostId> MembershipService::liveHosts(const core::DataCentreId &dataCentre) const
{
    return snapshot()->liveHosts(dataCentre);
}

std::vector<core::HostId> MembershipService::recentHosts(const core::DataCentreId &dataCentre) const
{
    return snapshot()->recentHosts(dataCentre);
}

std::optional<Member> MembershipService::find(const core::HostId &host) const
{
    return m_state->protocol().find(host, m_state->now());
}

Member MembershipService::self() const
{
    return m_state->protocol().self(m_state->now());
}

void MembershipService::setAppliedOffset(core::Offset offset)
{
    m_state->protocol().setAppliedOffset(offset);
}

void MembershipService::setEndpoint(const std::optional<wire::EndpointState> &endpoint)
{
    m_state->perform(m_state->protocol().setEndpoint(endpoint, m_state->now()));
}

void MembershipService::addContact(const wire::MemberUpdate &contact)
{
    m_state->protocol().addContact(contact, m_state->now());
}

void MembershipService::sendOffsetNotice()
{
    m_state->perform(m_state->protocol().offsetNotice(m_state->now()));
}

void MembershipService::pingNow(const core::HostId &host)
{
    m_state->perform(m_state->protocol().pingNow(host, m_state->now()));
}

core::TimePoint MembershipService::lastPeerAck() const
{
    return m_state->protocol().lastPeerAck();
}

std::optional<core::TimePoint> MembershipService::firstPeerAck() const
{
    return m_state->protocol().firstPeerAck();
}

std::optional<core::TimePoint> MembershipService::lastContactWithOtherDataCentre() const
{
    return m_state->protocol().lastContactWithOtherDataCentre();
}

std::uint64_t MembershipService::resumeCount() const
{
    return m_state->protocol().resumeCount();
}

}
