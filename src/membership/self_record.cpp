#include "berylspring/membership/self_record.h"

#include <utility>

namespace berylspring::membership {

namespace {

using Fields = wire::MemberUpdateFields;

Fields initialFields(const MembershipSettings &settings)
{
    Fields fields;
    fields.host = settings.host;
    fields.dataCentre = settings.dataCentre;
    fields.address = settings.address;
    fields.port = settings.port;
    fields.incarnation = 1;
    return fields;
}

bool isStructuralChange(const std::optional<wire::EndpointState> &before,
                        const std::optional<wire::EndpointState> &after)
{
    if (!before || !after) {
        return before.has_value() != after.has_value();
    }
    return (*before)->service != (*after)->service || (*before)->slots != (*after)->slots
           || (*before)->isDraining != (*after)->isDraining || (*before)->coldRate != (*after)->coldRate;
}

}

SelfRecord::SelfRecord(const MembershipSettings &settings)
    : m_record(initialFields(settings))
{
}

wire::MemberUpdate SelfRecord::record() const
{
    const std::scoped_lock lock(m_mutex);
    return m_record;
}

Member SelfRecord::member(core::TimePoint now) const
{
    return Member(record(), now, core::TimePoint{});
}

void SelfRecord::setPort(std::uint16_t port)
{
    const std::scoped_lock lock(m_mutex);
    replace(m_record.with(&Fields::port, port), true);
}

void SelfRecord::setAppliedOffset(core::Offset offset)
{
    const std::scoped_lock lock(m_mutex);
    // Reports of several threads may arrive out of order; the offset of a node never falls.
    if (offset > m_record->appliedOffset) {
        replace(m_record.with(&Fields::appliedOffset, offset).with(&Fields::version, m_record->version + 1), false);
    }
}

bool SelfRecord::setEndpoint(const std::optional<wire::EndpointState> &endpoint)
{
    const std::scoped_lock lock(m_mutex);
    if (m_record->endpoint == endpoint) {
        return false;
    }
    const bool isStructural = isStructuralChange(m_record->endpoint, endpoint);
    replace(m_record.with(&Fields::endpoint, endpoint).with(&Fields::version, m_record->version + 1), isStructural);
    return isStructural;
}

bool SelfRecord::refute(const wire::MemberUpdate &received)
{
    const std::scoped_lock lock(m_mutex);
    if (m_record->state == wire::MemberState::Left || received->incarnation < m_record->incarnation) {
        return false;
    }
    const bool isSameContent = received.with(&Fields::state, m_record->state) == m_record;
    const bool isOlderContent = received->version < m_record->version || isSameContent;
    if (received->incarnation == m_record->incarnation && received->state == wire::MemberState::Alive
        && isOlderContent) {
        return false;
    }
    replace(m_record.with(&Fields::incarnation, received->incarnation + 1), true);
    return true;
}

void SelfRecord::raiseIncarnation()
{
    const std::scoped_lock lock(m_mutex);
    replace(m_record.with(&Fields::incarnation, m_record->incarnation + 1), true);
}

void SelfRecord::leave()
{
    const std::scoped_lock lock(m_mutex);
    replace(m_record.with(&Fields::state, wire::MemberState::Left), true);
}

void SelfRecord::replace(wire::MemberUpdate record, bool isStructural)
{
    m_record = std::move(record);
    ++m_revision;
    if (isStructural) {
        ++m_structureRevision;
    }
}

}
