#include "admission/service_returns.h"

#include <algorithm>
#include <cmath>

namespace berylspring::admission {

namespace {

constexpr core::Duration SlotLength = ReturnSchedule::SlotLength;
/** Longest time in past slots whose room adds up to one request, for services with few requests per second. */
constexpr std::int64_t MaxPastSlots = 30;
/** A workspace counts as refused for this time, in which the callers of a burst are refused once each. */
constexpr core::Duration RefusedWindow = std::chrono::seconds(1);
/** Bounds the memory; further workspaces have no room kept for them until others fall silent. */
constexpr std::size_t MaxWorkspaces = 1024;
/** Rounding of the products of rate and time must not cost a whole request. */
constexpr double Tolerance = 1e-9;

}

ServiceReturns::Slot ServiceReturns::slotOf(core::TimePoint time) noexcept
{
    return time.time_since_epoch() / SlotLength;
}

core::TimePoint ServiceReturns::startOf(Slot slot) noexcept
{
    return core::TimePoint(SlotLength * slot);
}

void ServiceReturns::recordAdmitted(core::TimePoint now)
{
    m_rate = m_rate.withRequest(now);
}

void ServiceReturns::recordArrival(const core::WorkspaceId &workspace, core::TimePoint now)
{
    countWorkspaces(now);
    const auto known = m_workspaces.find(workspace);
    if (known != m_workspaces.end()) {
        known->second.seenAt = now;
    } else if (m_workspaces.size() < MaxWorkspaces) {
        m_workspaces.emplace(workspace, Activity{.seenAt = now});
        ++m_activeWorkspaces;
    }
}

void ServiceReturns::countWorkspaces(core::TimePoint now)
{
    const Slot slot = slotOf(now);
    if (slot == m_countedIn) {
        return;
    }
    m_countedIn = slot;
    std::erase_if(m_workspaces, [&](const auto &entry) {
        return entry.second.held <= 0 && now - entry.second.seenAt > ReturnSchedule::Horizon;
    });
    m_activeWorkspaces = m_workspaces.size();
    m_refusedWorkspaces =
        static_cast<std::size_t>(std::count_if(m_workspaces.begin(), m_workspaces.end(), [&](const auto &entry) {
            return entry.second.refusedAt && now - *entry.second.refusedAt <= RefusedWindow;
        }));
}

ServiceReturns::Promises::iterator ServiceReturns::remove(Promises::iterator promise)
{
    const PromiseKey key = promise->first;
    const ReturningRequest &request = promise->second.request;
    const auto [begin, end] = m_byDigest.equal_range(request.digest);
    m_byDigest.erase(std::find_if(begin, end, [&](const auto &entry) { return entry.second == key; }));
    m_byAge.erase(key.second);
    const auto ofRank = m_byRank.find(request.rank);
    if (--ofRank->second == 0) {
        m_byRank.erase(ofRank);
    }
    const auto workspace = m_workspaces.find(request.workspace);
    if (workspace != m_workspaces.end()) {
        workspace->second.held -= 1;
    }
    return m_promises.erase(promise);
}

void ServiceReturns::withdraw(Promises::iterator promise)
{
    const auto bookings = m_bookings.find(promise->first.first);
    if (bookings != m_bookings.end()) {
        bookings->second.total -= 1;
        bookings->second.byWorkspace[promise->second.request.workspace] -= 1;
    }
    remove(promise);
}

void ServiceReturns::expire(core::TimePoint now)
{
    for (auto promise = m_promises.begin(); promise != m_promises.end();) {
        if (startOf(promise->first.first + 1) + ReturnSchedule::MaxLate >= now) {
            break;
        }
        ++m_totals.late;
        promise = remove(promise);
    }
    m_bookings.erase(m_bookings.begin(), m_bookings.lower_bound(slotOf(now) - MaxPastSlots));
}

bool ServiceReturns::hasPromises(core::TimePoint now)
{
    expire(now);
    return !m_promises.empty();
}

bool ServiceReturns::takePromise(const core::Digest &digest, core::TimePoint now)
{
    expire(now);
    const auto [begin, end] = m_byDigest.equal_range(digest);
    const auto due = std::find_if(begin, end, [&](const auto &entry) {
        const core::TimePoint at = m_promises.at(entry.second).at;
        return now >= at - ReturnSchedule::MaxEarly && now <= at + ReturnSchedule::MaxLate;
    });
    if (due == end) {
        return false;
    }
    remove(m_promises.find(due->second));
    return true;
}

double ServiceReturns::workspaceShare() const noexcept
{
    constexpr double ShareBesideSilentOthers = 0.5;
    if (m_refusedWorkspaces > 1) {
        return 1 / static_cast<double>(m_refusedWorkspaces);
    }
    // The first workspace to be refused leaves room for others that send requests but were not refused yet.
    return m_activeWorkspaces > 1 ? ShareBesideSilentOthers : 1;
}

std::optional<ServiceReturns::Slot>
ServiceReturns::slotWithRoom(const core::WorkspaceId &workspace, Slot first, Slot last, double roomPerSlot) const
{
    const double maxTotal = std::ceil(roomPerSlot);
    const double maxOfWorkspace = std::max(1.0, std::ceil(roomPerSlot * workspaceShare()));
    // A service with less room than one request per slot gets whole requests from the room of several slots.
    const auto pastSlots = static_cast<Slot>(std::ceil(std::min(1 / roomPerSlot, static_cast<double>(MaxPastSlots))));
    double booked = 0;
    auto bookings = m_bookings.lower_bound(first - pastSlots);
    for (; bookings != m_bookings.end() && bookings->first < first; ++bookings) {
        booked += bookings->second.total;
    }
    for (Slot slot = first; slot <= last; ++slot) {
        double total = 0;
        double ofWorkspace = 0;
        if (bookings != m_bookings.end() && bookings->first == slot) {
            total = bookings->second.total;
            const auto known = bookings->second.byWorkspace.find(workspace);
            ofWorkspace = known == bookings->second.byWorkspace.end() ? 0 : known->second;
            ++bookings;
        }
        booked += total;
        const double room = roomPerSlot * static_cast<double>(slot - first + 1 + pastSlots);
        if (booked + 1 <= room + Tolerance && total < maxTotal && ofWorkspace < maxOfWorkspace) {
            return slot;
        }
    }
    return std::nullopt;
}

ServiceReturns::Promises::iterator ServiceReturns::replaceable(std::uint32_t rank, Slot first, Slot last)
{
    const auto end = m_promises.lower_bound({last + 1, 0});
    auto least = m_promises.end();
    if (m_byRank.empty() || m_byRank.begin()->first >= rank) {
        return least;
    }
    for (auto promise = m_promises.lower_bound({first, 0}); promise != end; ++promise) {
        const std::uint32_t lowest = least == m_promises.end() ? rank : least->second.request.rank + 1;
        if (promise->second.request.rank < lowest) {
            least = promise;
        }
    }
    return least;
}

std::optional<core::TimePoint>
ServiceReturns::promise(const ReturningRequest &request, core::TimePoint latest, double position, core::TimePoint now)
{
    expire(now);
    recordArrival(request.workspace, now);
    const auto workspace = m_workspaces.find(request.workspace);
    if (workspace == m_workspaces.end()) {
        return std::nullopt;
    }
    Activity &activity = workspace->second;
    if (!activity.refusedAt || now - *activity.refusedAt > RefusedWindow) {
        ++m_refusedWorkspaces;
    }
    activity.refusedAt = now;
    const Slot first = slotOf(now) + 1;
    const Slot last = slotOf(latest);
    const double roomPerSlot =
        m_rate.perSecond(now) * std::chrono::duration<double>(SlotLength).count() * ReturnSchedule::ReservedShare;
    const double reachable = roomPerSlot * static_cast<double>(std::max<Slot>(0, last - first + 1));
    if (last < first || roomPerSlot <= 0 || activity.held >= std::max(1.0, std::ceil(reachable * workspaceShare()))) {
        return std::nullopt;
    }
    std::optional<Slot> slot = slotWithRoom(request.workspace, first, last, roomPerSlot);
    if (!slot) {
        const auto least = replaceable(request.rank, first, last);
        if (least == m_promises.end()) {
            return std::nullopt;
        }
        slot = least->first.first;
        withdraw(least);
    }
    if (m_promises.size() >= ReturnSchedule::MaxPromises) {
        const auto oldest = m_byAge.begin();
        withdraw(m_promises.find({oldest->second, oldest->first}));
    }
    const core::TimePoint end = std::min(startOf(*slot + 1), latest);
    const core::Duration offset = std::chrono::duration_cast<core::Duration>((end - startOf(*slot)) * position);
    const PromiseKey key(*slot, m_nextNumber++);
    const core::TimePoint at = startOf(*slot) + offset;
    m_promises.emplace(key, Promise{.at = at, .request = request});
    m_byDigest.emplace(request.digest, key);
    m_byAge.emplace(key.second, key.first);
    ++m_byRank[request.rank];
    Bookings &bookings = m_bookings[*slot];
    bookings.total += 1;
    bookings.byWorkspace[request.workspace] += 1;
    activity.held += 1;
    ++m_totals.promised;
    return at;
}

}
