#pragma once

#include "berylspring/core/time.h"

#include <compare>
#include <cstdint>

namespace berylspring::idempotency {

/** @brief Whether a send entered the system before or after another send of its name was answered `not-run`. */
enum class SendOrder {
    Earlier, ///< It must not run any more: `not-run` was said of it, too.
    Later,
    Ambiguous, ///< The message may have been under way for long: ask the entry to send it again.
};

/**
 * @brief When a send entered the system, as far as its home can tell without a common clock.
 *
 * The age says how long the entry has held the request, but not how long the message was under way. A challenge is the
 * home's own clock reading; a message that carries it was made, and its age measured, after that reading.
 */
class SendTime
{
public:
    SendTime() = default;
    /**
     * @param age Time between the arrival at the entry and the making of the message.
     * @param challenge Number made by challengeAt() of the same process, or 0.
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
