#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/wire/messages.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace berylspring::idempotency {

/** @brief Identifies the process, and its attempt, that may run the request of a name. */
struct ClaimOwner
{
    core::HostId home;
    std::uint64_t boot = 0; ///< Random number chosen when the process starts.
    std::uint64_t attempt = 0; ///< Increases with each claim of the process.

    [[nodiscard]] bool isSameProcess(const ClaimOwner &other) const noexcept
    {
        return home == other.home && boot == other.boot;
    }
    [[nodiscard]] auto operator<=>(const ClaimOwner &) const = default;
};

/** @brief Immutable record of one name: owner, state, stored response and times. */
class Claim
{
public:
    Claim(ClaimOwner owner, const core::Digest &requestDigest, core::TimePoint created);

    /** @brief Converts a record of another node; its age becomes a time of this node's clock. */
    [[nodiscard]] static Claim fromRecord(const wire::ClaimRecord &record, core::TimePoint now);
    [[nodiscard]] wire::ClaimRecord toRecord(const std::string &name, core::TimePoint now) const;

    [[nodiscard]] const ClaimOwner &owner() const noexcept
    {
        return m_owner;
    }
    [[nodiscard]] const core::Digest &requestDigest() const noexcept
    {
        return m_requestDigest;
    }
    [[nodiscard]] wire::ClaimState state() const noexcept
    {
        return m_state;
    }
    /** @return The stored response; empty in state Answered if it was evicted to save memory. */
    [[nodiscard]] const std::optional<wire::CallResponse> &response() const noexcept
    {
        return m_response;
    }
    /** @return Start of the retention period; in state Released the time of the release. */
    [[nodiscard]] core::TimePoint created() const noexcept
    {
        return m_created;
    }
    /**
     * @return When a caller was last told that no send of the name had run; empty if that never happened. It precedes
     * this claim, or is its release.
     */
    [[nodiscard]] std::optional<core::TimePoint> notRunSince() const noexcept
    {
        return m_notRunSince;
    }
    /** @return Whether the attempt of the owner has not ended: state Claimed or Dispatched. */
    [[nodiscard]] bool isUnfinished() const noexcept;
    /** @return Size of the stored response in bytes. */
    [[nodiscard]] std::size_t storedBytes() const noexcept;

    [[nodiscard]] Claim withState(wire::ClaimState state) const;
    [[nodiscard]] Claim withAnswer(wire::CallResponse response) const;
    [[nodiscard]] Claim withoutAnswer() const;
    [[nodiscard]] Claim withNotRunSince(std::optional<core::TimePoint> since) const;
    /** @return The claim in state Released: its caller is told `not-run`. */
    [[nodiscard]] Claim released(core::TimePoint now) const;
    /** @return What remains when the claim ends without a response to its caller: an earlier release, if any. */
    [[nodiscard]] std::optional<Claim> withdrawn() const;

    /**
     * @return Whether this record of a name takes precedence over the other: the later attempt of the same process,
     * else the more advanced state, else the older record.
     */
    [[nodiscard]] bool takesPrecedenceOver(const Claim &other) const noexcept;

    [[nodiscard]] bool operator==(const Claim &) const = default;

private:
    ClaimOwner m_owner;
    core::Digest m_requestDigest;
    wire::ClaimState m_state = wire::ClaimState::Claimed;
    std::optional<wire::CallResponse> m_response;
    core::TimePoint m_created;
    std::optional<core::TimePoint> m_notRunSince;
};

}
