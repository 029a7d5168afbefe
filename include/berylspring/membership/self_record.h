#pragma once

#include "berylspring/core/time.h"
#include "berylspring/membership/member.h"
#include "berylspring/membership/settings.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>

namespace berylspring::membership {

/** @brief Record of this member, which alone raises its incarnation and version. */
class SelfRecord
{
public:
    explicit SelfRecord(const MembershipSettings &settings);

    [[nodiscard]] wire::MemberUpdate record() const;
    [[nodiscard]] Member member(core::TimePoint now) const;

    void setPort(std::uint16_t port);
    void setAppliedOffset(core::Offset offset);
    /** @return Whether the service, the slots or the draining changed, which has to be pushed to all members. */
    bool setEndpoint(const std::optional<wire::EndpointState> &endpoint);

    /**
     * @brief Compares a record of this member that another one sent.
     * @return Whether it contradicted the own record and the incarnation was raised above it. This covers a suspicion
     * as well as records of an earlier process of this host, whose incarnation may be higher than the own one.
     */
    bool refute(const wire::MemberUpdate &received);
    void raiseIncarnation();
    /** @brief Sets the state to left; afterwards refute() does nothing. */
    void leave();

    /** @return Number of changes so far. */
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return m_revision.load();
    }
    /** @return Number of changes so far other than those of load, admitted level and applied offset. */
    [[nodiscard]] std::uint64_t structureRevision() const noexcept
    {
        return m_structureRevision.load();
    }

private:
    void replace(wire::MemberUpdate record, bool isStructural);

    mutable std::mutex m_mutex;
    wire::MemberUpdate m_record;
    std::atomic<std::uint64_t> m_revision{0};
    std::atomic<std::uint64_t> m_structureRevision{0};
};

}
