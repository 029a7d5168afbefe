#include "berylspring/idempotency/claim.h"

#include <algorithm>
#include <utility>

namespace berylspring::idempotency {

namespace {

/** @return Precedence of a state: a record with a higher value replaces one with a lower value. */
int statePrecedence(wire::ClaimState state) noexcept
{
    switch (state) {
    case wire::ClaimState::Released:
        return 0;
    case wire::ClaimState::Claimed:
        return 1;
    case wire::ClaimState::Dispatched:
        return 2;
    case wire::ClaimState::Unknown:
        return 3;
    case wire::ClaimState::Answered:
        return 4;
    }
    return 3;
}

}

Claim::Claim(ClaimOwner owner, const core::Digest &requestDigest, core::TimePoint created)
    : m_owner(std::move(owner))
    , m_requestDigest(requestDigest)
    , m_created(created)
{
}

Claim Claim::fromRecord(const wire::ClaimRecord &record, core::TimePoint now)
{
    const core::TimePoint created = now - std::max(record->age, core::Duration::zero());
    Claim claim({record->home, record->boot, record->attempt}, record->requestDigest, created);
    claim.m_state = record->state;
    if (record->state == wire::ClaimState::Answered) {
        claim.m_response = record->response;
    }
    if (record->state == wire::ClaimState::Released) {
        claim.m_notRunSince = created;
    }
    return claim;
}

wire::ClaimRecord Claim::toRecord(const std::string &name, core::TimePoint now) const
{
    wire::ClaimRecordFields fields;
    fields.name = name;
    fields.home = m_owner.home;
    fields.boot = m_owner.boot;
    fields.attempt = m_owner.attempt;
    fields.requestDigest = m_requestDigest;
    fields.state = m_state;
    fields.response = m_response;
    fields.age = std::max<core::Duration>(now - m_created, core::Duration::zero());
    return wire::ClaimRecord(std::move(fields));
}

bool Claim::isUnfinished() const noexcept
{
    return m_state == wire::ClaimState::Claimed || m_state == wire::ClaimState::Dispatched;
}

std::size_t Claim::storedBytes() const noexcept
{
    if (!m_response) {
        return 0;
    }
    std::size_t bytes = (*m_response)->body.size();
    for (const wire::Header &header : (*m_response)->headers) {
        bytes += sizeof(header) + header.name.size() + header.value.size();
    }
    return bytes;
}

Claim Claim::withState(wire::ClaimState state) const
{
    Claim copy = *this;
    copy.m_state = state;
    return copy;
}

Claim Claim::withAnswer(wire::CallResponse response) const
{
    Claim copy = withState(wire::ClaimState::Answered);
    copy.m_response = std::move(response);
    return copy;
}

Claim Claim::withoutAnswer() const
{
    Claim copy = *this;
    copy.m_response.reset();
    return copy;
}

Claim Claim::withNotRunSince(std::optional<core::TimePoint> since) const
{
    Claim copy = *this;
    copy.m_notRunSince = since;
    return copy;
}

Claim Claim::released(core::TimePoint now) const
{
    Claim copy = withState(wire::ClaimState::Released);
    copy.m_created = now;
    copy.m_notRunSince = now;
    return copy;
}

std::optional<Claim> Claim::withdrawn() const
{
    return m_notRunSince ? std::optional(released(*m_notRunSince)) : std::nullopt;
}

bool Claim::takesPrecedenceOver(const Claim &other) const noexcept
{
    if (m_owner.isSameProcess(other.m_owner) && m_owner.attempt != other.m_owner.attempt) {
        return m_owner.attempt > other.m_owner.attempt;
    }
    if (m_owner == other.m_owner && m_state == wire::ClaimState::Released) {
        return other.isUnfinished();
    }
    if (m_state == wire::ClaimState::Released && other.m_state == wire::ClaimState::Released) {
        return m_created > other.m_created;
    }
    if (m_state == other.m_state && m_owner != other.m_owner) {
        return m_created < other.m_created;
    }
    return statePrecedence(m_state) > statePrecedence(other.m_state);
}

}
