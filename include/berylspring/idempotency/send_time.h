#pragma once

#include "berylspring/core/time.h"

#include <compare>
#include <cstdint>

namespace berylspring::idempotency {

/** @brief Order of the arrival of a send and a release, which told a caller of the same name `not-run`. */
enum class SendOrder {
    Earlier, ///< It arrived before the release, whose `not-run` covers it; it must not run.
    Later,
    Ambiguous, ///< The transit time of the message is unknown; the entry must send it again with a challenge.
};

/**
 * @brief Bounds of the time at which a send entered the system, on the clock of its home.
 *
 * Nodes have no common clock. The age is the time that the entry held the request; the transit time of the message is
 * unknown. A challenge is a reading of the home's clock. A message that carries it was built, and its age measured,
 * after that reading.
 */
class SendTime
{
public:
    SendTime() = default;
    /**
     * @param age Time between the arrival of the send at the entry and the construction of the message.
     * @param challenge Result of challengeAt() in this process, or 0 for none.
     */
    SendTime(core::Duration age, std::uint64_t challenge) noexcept
        : m_age(age)
        , m_challenge(challenge)
    {
    }

    [[nodiscard]] static std::uint64_t challengeAt(core::TimePoint now) noexcept;

    [[nodiscard]] SendOrder comparedTo(core::TimePoint notRunSince, core::TimePoint now) const noexcept;

    [[nodiscard]] auto operator<=>(const SendTime &) const = default;

private:
    core::Duration m_age{};
    std::uint64_t m_challenge = 0;
};

}
