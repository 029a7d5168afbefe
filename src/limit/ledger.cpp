#include "berylspring/limit/ledger.h"

#include <algorithm>

namespace berylspring::limit {

namespace {

/** Grants that expire within this time of each other are merged, so that a busy bucket has few entries. */
constexpr core::Duration GrantResolution = std::chrono::microseconds(500);

bool isRate(LedgerEntryKind kind) noexcept
{
    return kind == LedgerEntryKind::RateLent || kind == LedgerEntryKind::RateBorrowed;
}

}

void Ledger::add(LedgerEntry entry)
{
    if (entry.amount() <= 0) {
        return;
    }
    if (isRate(entry.kind())) {
        std::erase_if(m_entries, [&](const LedgerEntry &old) { return entry.covers(old); });
    } else if (entry.kind() == LedgerEntryKind::Granted) {
        const auto near = std::find_if(m_entries.begin(), m_entries.end(), [&](const LedgerEntry &old) {
            return old.kind() == LedgerEntryKind::Granted && old.until() >= entry.until()
                   && old.until() - entry.until() < GrantResolution;
        });
        if (near != m_entries.end()) {
            *near = LedgerEntry(LedgerEntryKind::Granted, {}, near->amount() + entry.amount(), near->until());
            return;
        }
        entry = LedgerEntry(LedgerEntryKind::Granted, {}, entry.amount(), entry.until() + GrantResolution);
    }
    m_entries.push_back(std::move(entry));
}

void Ledger::prune(core::TimePoint now)
{
    std::erase_if(m_entries, [&](const LedgerEntry &entry) { return entry.until() <= now; });
}

double Ledger::total(LedgerEntryKind kind, core::TimePoint at, const core::DataCentreId &except) const
{
    double sum = 0;
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        if (entry->kind() != kind || entry->until() <= at || (!except.isEmpty() && entry->partner() == except)) {
            continue;
        }
        if (!isRate(kind)) {
            sum += entry->amount();
            continue;
        }
        // Only the largest rate loan of each partner counts, on a tie the first one.
        const bool isLargest = std::none_of(m_entries.begin(), m_entries.end(), [&](const LedgerEntry &other) {
            return other.kind() == kind && other.until() > at && other.partner() == entry->partner()
                   && (other.amount() > entry->amount() || (other.amount() == entry->amount() && &other < &*entry));
        });
        sum += isLargest ? entry->amount() : 0;
    }
    return sum;
}

double Ledger::rateWith(LedgerEntryKind kind, const core::DataCentreId &partner, core::TimePoint at) const
{
    double largest = 0;
    for (const LedgerEntry &entry : m_entries) {
        if (entry.kind() == kind && entry.partner() == partner && entry.until() > at) {
            largest = std::max(largest, entry.amount());
        }
    }
    return largest;
}

std::optional<core::TimePoint> Ledger::nextExpiry(core::TimePoint after) const
{
    std::optional<core::TimePoint> next;
    for (const LedgerEntry &entry : m_entries) {
        if (entry.until() > after && (!next || entry.until() < *next)) {
            next = entry.until();
        }
    }
    return next;
}

}
