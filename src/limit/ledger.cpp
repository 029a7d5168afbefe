#include "berylspring/limit/ledger.h"

#include <algorithm>

namespace berylspring::limit {

namespace {

/** Grants that expire within this time of each other are merged, which bounds the number of holds of a busy bucket. */
constexpr core::Duration GrantResolution = std::chrono::microseconds(500);

bool isRate(HoldKind kind) noexcept
{
    return kind == HoldKind::RateLent || kind == HoldKind::RateBorrowed;
}

}

void Ledger::add(Hold hold)
{
    if (hold.amount() <= 0) {
        return;
    }
    if (isRate(hold.kind())) {
        std::erase_if(m_holds, [&](const Hold &old) { return hold.covers(old); });
    } else if (hold.kind() == HoldKind::Granted) {
        const auto near = std::find_if(m_holds.begin(), m_holds.end(), [&](const Hold &old) {
            return old.kind() == HoldKind::Granted && old.until() >= hold.until()
                   && old.until() - hold.until() < GrantResolution;
        });
        if (near != m_holds.end()) {
            *near = Hold(HoldKind::Granted, {}, near->amount() + hold.amount(), near->until());
            return;
        }
        hold = Hold(HoldKind::Granted, {}, hold.amount(), hold.until() + GrantResolution);
    }
    m_holds.push_back(std::move(hold));
}

void Ledger::prune(core::TimePoint now)
{
    std::erase_if(m_holds, [&](const Hold &hold) { return hold.until() <= now; });
}

double Ledger::total(HoldKind kind, core::TimePoint at, const core::DataCentreId &except) const
{
    double sum = 0;
    for (auto hold = m_holds.begin(); hold != m_holds.end(); ++hold) {
        if (hold->kind() != kind || hold->until() <= at || (!except.isEmpty() && hold->partner() == except)) {
            continue;
        }
        if (!isRate(kind)) {
            sum += hold->amount();
            continue;
        }
        // Only the largest rate loan of each partner counts, on a tie the first one.
        const bool isLargest = std::none_of(m_holds.begin(), m_holds.end(), [&](const Hold &other) {
            return other.kind() == kind && other.until() > at && other.partner() == hold->partner()
                   && (other.amount() > hold->amount() || (other.amount() == hold->amount() && &other < &*hold));
        });
        sum += isLargest ? hold->amount() : 0;
    }
    return sum;
}

double Ledger::rateWith(HoldKind kind, const core::DataCentreId &partner, core::TimePoint at) const
{
    double largest = 0;
    for (const Hold &hold : m_holds) {
        if (hold.kind() == kind && hold.partner() == partner && hold.until() > at) {
            largest = std::max(largest, hold.amount());
        }
    }
    return largest;
}

std::optional<core::TimePoint> Ledger::nextEnd(core::TimePoint after) const
{
    std::optional<core::TimePoint> next;
    for (const Hold &hold : m_holds) {
        if (hold.until() > after && (!next || hold.until() < *next)) {
            next = hold.until();
        }
    }
    return next;
}

}
