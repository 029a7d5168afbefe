#pragma once

#include "berylspring/core/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace berylspring::limit {

/** @brief Tokens in the hands of an entry node. Their expiry counts from the sending of the request. */
class EntryTokens
{
public:
    /** @return The tokens that may be used now. */
    [[nodiscard]] std::uint32_t available(core::TimePoint now) const noexcept;
    /** @return What is left after using one token now, or nothing when none is left or unexpired. */
    [[nodiscard]] std::optional<EntryTokens> taken(core::TimePoint now) const noexcept;
    /** @return The end of the token that taken() uses next, or nothing without one. */
    [[nodiscard]] std::optional<core::TimePoint> nextEnd(core::TimePoint now) const noexcept;
    /** @return The tokens with a new grant; of three unexpired grants the first two then end together. */
    [[nodiscard]] EntryTokens granted(std::uint32_t tokens, core::TimePoint until, core::TimePoint now) const noexcept;
    [[nodiscard]] bool operator==(const EntryTokens &) const = default;

private:
    struct Lot
    {
        std::uint32_t tokens = 0;
        core::TimePoint until{};
        [[nodiscard]] bool operator==(const Lot &) const = default;
    };
    std::array<Lot, 2> m_lots{}; ///< The one that ends first is used first.
};

}
