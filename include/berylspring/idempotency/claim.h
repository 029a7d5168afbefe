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

/** @brief The one process, and its one attempt, that may run a name. */
struct ClaimOwner
{
    core::HostId home;
    std::uint64_t boot = 0; ///< Random number of the process.
    std::uint64_t attempt = 0; ///< Grows with each claim of the process.

    [[nodiscard]] bool isSameProcess(const ClaimOwner &other) const noexcept
    {
        return home == other.home && boot == other.boot;
    }
    [[nodiscard]] auto operator<=>(const ClaimOwner &) const = default;
};

/** @brief What a node knows of one name. */
class Claim
{
public:
    Claim(ClaimOwner owner, const core::Digest &requestDigest, core::TimePoint created);

    /** @brief Takes over a record from another node; its age becomes a time of this node's clock. */
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
    /** @return The stored answer; empty in state Answered if it was dropped to save memory. */
    [[nodiscard]] const std::optional<wire::CallResponse> &response() const noexcept
    {
        return m_response;
    }
    /** @return Start of the retention; in state Released the time of the release. */
    [[nodiscard]] core::TimePoint created() const noexcept
    {
        return m_created;
    }
    /** @return When a caller was told that no send of the name had run, if that was before this claim or is its state.
     */
    [[nodiscard]] std::optional<core::TimePoint> notRunSince() const noexcept
    {
        return m_notRunSince;
    }
    /** @return Whether the owner has neither a result nor given up. */
    [[nodiscard]] bool isUnfinished() const noexcept;
    /** @return Memory taken by the stored answer in bytes. */
    [[nodiscard]] std::size_t storedBytes() const noexcept;

    [[nodiscard]] Claim withState(wire::ClaimState state) const;
    [[nodiscard]] Claim withAnswer(wire::CallResponse response) const;
    [[nodiscard]] Claim withoutAnswer() const;
    [[nodiscard]] Claim withNotRunSince(std::optional<core::TimePoint> since) const;
    /** @brief The claim after its caller was told `not-run`. */
    [[nodiscard]] Claim released(core::TimePoint now) const;
    /** @brief What is left when the claim is taken back without telling a caller anything: an earlier release. */
    [[nodiscard]] std::optional<Claim> withdrawn() const;

    /**
     * @return Whether this record of a name is the better one to keep than the other: the later one of the same
     * process, else the one that says more, else the earlier one.
     */
    [[nodiscard]] bool isAheadOf(const Claim &other) const noexcept;

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
