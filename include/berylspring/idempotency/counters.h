#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace berylspring::idempotency {

/** @brief Metrics of the service: counts since the start of the process, and current sizes. */
struct IdempotencyCounters
{
    std::uint64_t started = 0; ///< Attempts started as home.
    std::uint64_t dispatched = 0;
    std::uint64_t waited = 0; ///< Sends that waited for a running request of the same name.
    std::uint64_t replayed = 0; ///< Sends answered with a stored response.
    std::uint64_t unknown = 0; ///< Sends that this home answered with `unknown`.
    std::uint64_t mismatched = 0;
    std::uint64_t released = 0; ///< Attempts that ended as `not-run`.
    std::uint64_t claimsAccepted = 0; ///< As standby.
    std::uint64_t claimsRefused = 0; ///< As standby.
    std::uint64_t resent = 0; ///< HomeRequests without a final response, to be sent again.
    std::uint64_t recordsHandedOver = 0;
    std::uint64_t recordsNotHandedOver = 0; ///< Records that not all of their successors accepted.
    std::uint64_t droppedAnswers = 0;
    std::size_t records = 0;
    std::size_t storedBytes = 0;
    [[nodiscard]] bool operator==(const IdempotencyCounters &) const = default;
};

}
