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
    EntryTokens rest = *this;
    for (Lot &lot : rest.m_lots) {
        if (lot.until > now && lot.tokens > 0) {
            --lot.tokens;
            return rest;
        }
    }
    return std::nullopt;
}

std::optional<core::TimePoint> EntryTokens::nextEnd(core::TimePoint now) const noexcept
{
    for (const Lot &lot : m_lots) {
        if (lot.until > now && lot.tokens > 0) {
            return lot.until;
        }
    }
    return std::nullopt;
}

EntryTokens EntryTokens::granted(std::uint32_t tokens, core::TimePoint until) const noexcept
{
    EntryTokens next = *this;
    std::size_t slot = 0;
    if (next.m_lots[0].tokens > 0 && (next.m_lots[1].tokens == 0 || next.m_lots[1].until < next.m_lots[0].until)) {
        slot = 1;
    }
    next.m_lots[slot] = Lot{tokens, until};
    if (next.m_lots[1].until < next.m_lots[0].until) {
        std::swap(next.m_lots[0], next.m_lots[1]);
    }
    return next;
}

}
