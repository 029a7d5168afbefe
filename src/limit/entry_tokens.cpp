#include "berylspring/limit/entry_tokens.h"

#include <utility>

namespace berylspring::limit {

std::uint32_t EntryTokens::available(core::TimePoint now) const noexcept
{
    std::uint32_t sum = 0;
    for (const Lot &lot : m_lots) {
        sum += lot.until > now ? lot.tokens : 0;
    }
    return sum;
}

std::optional<EntryTokens> EntryTokens::taken(core::TimePoint now) const noexcept
{
    EntryTokens remaining = *this;
    for (Lot &lot : remaining.m_lots) {
        if (lot.until > now && lot.tokens > 0) {
            --lot.tokens;
            return remaining;
        }
    }
    return std::nullopt;
}

std::optional<core::TimePoint> EntryTokens::nextExpiry(core::TimePoint now) const noexcept
{
    for (const Lot &lot : m_lots) {
        if (lot.until > now && lot.tokens > 0) {
            return lot.until;
        }
    }
    return std::nullopt;
}

EntryTokens EntryTokens::granted(std::uint32_t tokens, core::TimePoint until, core::TimePoint now) const noexcept
{
    EntryTokens next = *this;
    auto &[first, second] = next.m_lots;
    if (first.tokens == 0 || first.until <= now) {
        first = second;
    } else if (second.tokens > 0 && second.until > now) {
        first.tokens += second.tokens;
    }
    second = Lot{tokens, until};
    if (second.until < first.until) {
        std::swap(first, second);
    }
    return next;
}

}
