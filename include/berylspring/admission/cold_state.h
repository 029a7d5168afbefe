#pragma once

#include "berylspring/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace berylspring::admission {

/** @brief Why an endpoint counts as cold. */
enum class ColdReason {
    Reported, ///< Its heartbeat says so.
    ConnectionFailed, ///< A connection to it was refused or lost in a crash, so it may have restarted.
    HeartbeatOverdue, ///< Its heartbeats have stopped, so it may have restarted.
    TakenBack, ///< Its data centre was taken back after an evacuation.
};

/** @return Name in lower case with hyphens, for example "heartbeat-overdue". */
[[nodiscard]] std::string_view toString(ColdReason reason) noexcept;

/** @brief Until when and why an endpoint counts as cold; before its first heartbeat, it does. */
class ColdState
{
public:
    /** @param heartbeatTimeout Age from which the last heartbeat is overdue. */
    explicit ColdState(core::Duration heartbeatTimeout = core::Duration::zero()) noexcept
        : m_heartbeatTimeout(heartbeatTimeout)
    {
    }

    /** @param coldFor How long the endpoint is still cold, as the heartbeat says. */
    [[nodiscard]] ColdState withHeartbeat(core::Duration coldFor, core::TimePoint now) const noexcept;
    /** @return The state after a connection was refused or lost in a crash; the endpoint is cold until a heartbeat. */
    [[nodiscard]] ColdState withConnectionFailure() const noexcept;
    /** @param coldTime How long an endpoint is cold after a start. */
    [[nodiscard]] ColdState withReturn(core::Duration coldTime, core::TimePoint now) const noexcept;

    /** @return Why the endpoint is cold, the reason that lasts longest first; nothing if it is warm. */
    [[nodiscard]] std::optional<ColdReason> reason(core::TimePoint now) const noexcept;
    /** @return When the endpoint will be warm; nothing if that depends on a heartbeat. */
    [[nodiscard]] std::optional<core::TimePoint> warmAt(core::TimePoint now) const noexcept;
    /** @return Number of changes so far, which tells an older copy from a newer one. */
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return m_revision;
    }

    [[nodiscard]] bool operator==(const ColdState &) const = default;

private:
    [[nodiscard]] bool isOverdue(core::TimePoint now) const noexcept;

    core::Duration m_heartbeatTimeout;
    std::optional<core::TimePoint> m_heartbeatAt;
    core::TimePoint m_reportedUntil;
    core::TimePoint m_takenBackUntil;
    bool m_hasFailed = false; ///< Since the last heartbeat.
    std::uint64_t m_revision = 0;
};

/** @brief How many requests a cold endpoint may be sent. */
struct ColdRule
{
    double rate = 0; ///< Requests per second; 0: not limited.
    double burst = 1; ///< Requests that may start at once after a pause; at least 1.
    core::Duration coldTime{}; ///< How long an endpoint is cold after a start.
    [[nodiscard]] bool operator==(const ColdRule &) const = default;
};

/** @brief The rule for an endpoint and its state. */
struct ColdLimit
{
    ColdRule rule;
    ColdState state;
    [[nodiscard]] bool operator==(const ColdLimit &) const = default;
    /** @return Why the starts are limited; nothing if they are not. */
    [[nodiscard]] std::optional<ColdReason> reason(core::TimePoint now) const noexcept
    {
        return rule.rate > 0 ? state.reason(now) : std::nullopt;
    }
    /** @return Requests per second that may start; 0: any number. */
    [[nodiscard]] double rate(core::TimePoint now) const noexcept
    {
        return reason(now) ? rule.rate : 0;
    }
};

}
