#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace berylspring::idempotency {

/** @brief Counts since the start of the process, for metrics. */
struct IdempotencyCounters
{
    std::uint64_t started = 0; ///< Claims begun as home.
    std::uint64_t dispatched = 0;
    std::uint64_t waited = 0; ///< Sends that joined a running one.
    std::uint64_t replayed = 0; ///< Sends answered with a stored response.
    std::uint64_t unknown = 0; ///< Sends answered `unknown` by this home.
    std::uint64_t mismatched = 0;
    std::uint64_t released = 0; ///< Attempts that ended as `not-run`.
    std::uint64_t claimsAccepted = 0; ///< As standby.
    std::uint64_t claimsRefused = 0; ///< As standby.
    std::uint64_t resent = 0; ///< HomeRequests sent again by this entry.
    std::uint64_t recordsHandedOver = 0;
    std::uint64_t recordsNotHandedOver = 0; ///< No next home took them.
    std::uint64_t droppedAnswers = 0;
    std::size_t records = 0;
    std::size_t storedBytes = 0;
    [[nodiscard]] bool operator==(const IdempotencyCounters &) const = default;
};

}
