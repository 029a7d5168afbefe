#pragma once

#include "berylspring/core/time.h"
#include "berylspring/wire/datagrams.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace berylspring::membership {

/** @brief Local information on one member. Copies share their contents, so copying is cheap. */
class Member
{
public:
    /**
     * @param record The record as it is sent to others.
     * @param lastSeenAt Time of the last datagram from the member itself; TimePoint{} if only others reported it.
     * @param stateSince When this process recorded its current state and incarnation.
     */
    Member(wire::MemberUpdate record, core::TimePoint lastSeenAt, core::TimePoint stateSince)
        : m_data(std::make_shared<const Data>(Data{std::move(record), lastSeenAt, stateSince}))
    {
    }

    [[nodiscard]] const core::HostId &host() const noexcept
    {
        return record()->host;
    }
    [[nodiscard]] const core::DataCentreId &dataCentre() const noexcept
    {
        return record()->dataCentre;
    }
    /** @return IP number. */
    [[nodiscard]] const std::string &address() const noexcept
    {
        return record()->address;
    }
    /** @return Peer port, TCP and UDP. */
    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return record()->port;
    }
    [[nodiscard]] std::uint64_t incarnation() const noexcept
    {
        return record()->incarnation;
    }
    [[nodiscard]] wire::MemberState state() const noexcept
    {
        return record()->state;
    }
    /** @return Version of appliedOffset() and endpoint() within the incarnation. */
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return record()->version;
    }
    [[nodiscard]] core::Offset appliedOffset() const noexcept
    {
        return record()->appliedOffset;
    }
    [[nodiscard]] const std::optional<wire::EndpointState> &endpoint() const noexcept
    {
        return record()->endpoint;
    }
    /** @return Time of the last datagram from the member itself; TimePoint{} if only others reported it. */
    [[nodiscard]] core::TimePoint lastSeenAt() const noexcept
    {
        return m_data->lastSeenAt;
    }
    [[nodiscard]] core::TimePoint stateSince() const noexcept
    {
        return m_data->stateSince;
    }
    /** @return Whether it is alive or suspect. */
    [[nodiscard]] bool isLive() const noexcept
    {
        return state() == wire::MemberState::Alive || state() == wire::MemberState::Suspect;
    }
    [[nodiscard]] const wire::MemberUpdate &record() const noexcept
    {
        return m_data->record;
    }

    [[nodiscard]] bool operator==(const Member &other) const
    {
        return m_data == other.m_data || *m_data == *other.m_data;
    }

private:
    struct Data
    {
        wire::MemberUpdate record;
        core::TimePoint lastSeenAt;
        core::TimePoint stateSince;
        [[nodiscard]] bool operator==(const Data &) const = default;
    };

    std::shared_ptr<const Data> m_data;
};

}
