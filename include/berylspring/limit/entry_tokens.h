#pragma once

#include "berylspring/core/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace berylspring::limit {

/** @brief Unexpired tokens cached by an entry node. Their lifetime starts when the grant request is sent. */
class EntryTokens
{
public:
    /** @return Number of unexpired tokens. */
    [[nodiscard]] std::uint32_t available(core::TimePoint now) const noexcept;
    /** @return The tokens left after one is used now, or nothing without an unexpired token. */
    [[nodiscard]] std::optional<EntryTokens> taken(core::TimePoint now) const noexcept;
    /** @return Expiry of the token that taken() uses next, or nothing without one. */
    [[nodiscard]] std::optional<core::TimePoint> nextExpiry(core::TimePoint now) const noexcept;
    /** @return The tokens with a new grant. Of three unexpired grants, the first two are merged and expire together. */
    [[nodiscard]] EntryTokens granted(std::uint32_t tokens, core::TimePoint until, core::TimePoint now) const noexcept;
    [[nodiscard]] bool operator==(const EntryTokens &) const = default;

private:
    struct Lot
    {
        std::uint32_t tokens = 0;
        core::TimePoint until{};
        [[nodiscard]] bool operator==(const Lot &) const = default;
    };
    std::array<Lot, 2> m_lots{}; ///< The lot that expires first is used first.
};

}
