#include "berylspring/admission/admission_queue.h"

#include <algorithm>
#include <iterator>

namespace berylspring::admission {

namespace {

double weightOf(const QueueEntry &entry) noexcept
{
    return entry->weight > 0 ? entry->weight : 1;
}

}

double AdmissionQueue::Backlog::lengthPerWeight(std::size_t added) const noexcept
{
    return static_cast<double>(entries.size() + added) / weight;
}

std::size_t AdmissionQueue::laneOf(const QueueEntry &entry) noexcept
{
    const auto priority = std::min(entry->priority, core::MaxPriority);
    return 2 * std::size_t{priority} + (entry->isNested ? 1 : 0);
}

core::TimePoint AdmissionQueue::orderOf(const QueueEntry &entry) noexcept
{
    return entry->rootDeadline.value_or(entry->deadline);
}

std::optional<std::size_t> AdmissionQueue::lowestLane() const noexcept
{
    for (std::size_t i = 0; i < LaneCount; ++i) {
        if (m_lanes[i].size > 0) {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<core::PriorityLevel> AdmissionQueue::lowestPriority() const noexcept
{
    const auto lane = lowestLane();
    return lane ? std::optional(static_cast<core::PriorityLevel>(*lane / 2)) : std::nullopt;
}

OfferResult AdmissionQueue::offer(const QueueEntry &entry, std::size_t maxLength)
{
    OfferResult result;
    const std::size_t length = entry->isNested ? m_entries.size() : m_newCount;
    if (length >= maxLength) {
        result.displaced = displaceFor(entry);
        if (!result.displaced) {
            return result;
        }
    }
    insert(entry);
    result.isAccepted = true;
    return result;
}

std::optional<std::uint64_t> AdmissionQueue::displaceFor(const QueueEntry &entry)
{
    const auto lowest = lowestLane();
    const std::size_t own = laneOf(entry);
    if (!lowest || *lowest > own) {
        return std::nullopt;
    }
    const auto &backlogs = m_lanes[*lowest].backlogs;
    const auto largest = std::max_element(backlogs.begin(), backlogs.end(), [](const auto &left, const auto &right) {
        return left.second.lengthPerWeight(0) < right.second.lengthPerWeight(0);
    });
    if (*lowest == own) {
        const auto mine = backlogs.find(entry->workspace);
        const double lengthPerWeight = mine == backlogs.end() ? 1 / weightOf(entry) : mine->second.lengthPerWeight(1);
        if (lengthPerWeight >= largest->second.lengthPerWeight(0)) {
            const bool hasLater = entry->rootDeadline && mine != backlogs.end() && !mine->second.entries.empty()
                                  && std::prev(mine->second.entries.end())->first > orderOf(entry);
            return hasLater ? removeLast(mine->second) : std::nullopt;
        }
    }
    return removeLast(largest->second);
}

std::optional<std::uint64_t> AdmissionQueue::removeLast(const Backlog &backlog)
{
    const std::uint64_t displaced = std::prev(backlog.entries.end())->second;
    remove(displaced);
    return displaced;
}

void AdmissionQueue::insert(const QueueEntry &entry)
{
    m_newCount += entry->isNested ? 0 : 1;
    Lane &lane = m_lanes[laneOf(entry)];
    Backlog &backlog = lane.backlogs[entry->workspace];
    backlog.weight = weightOf(entry);
    if (backlog.entries.empty()) {
        // A workspace earns no credit while it has no backlog.
        backlog.virtualStart = std::max(backlog.virtualStart, lane.virtualTime);
    }
    backlog.entries.emplace(orderOf(entry), entry->id);
    ++lane.size;
    m_entries.emplace(entry->id, entry);
}

std::uint64_t AdmissionQueue::selectNext(Lane &lane)
{
    auto best = lane.backlogs.end();
    for (auto it = lane.backlogs.begin(); it != lane.backlogs.end(); ++it) {
        const bool isCandidate = !it->second.entries.empty();
        if (isCandidate && (best == lane.backlogs.end() || it->second.virtualStart < best->second.virtualStart)) {
            best = it;
        }
    }
    Backlog &backlog = best->second;
    const std::uint64_t id = backlog.entries.begin()->second;
    lane.virtualTime = std::max(lane.virtualTime, backlog.virtualStart);
    return id;
}

TakeResult AdmissionQueue::take(core::TimePoint now, core::Duration minServiceTime)
{
    TakeResult result;
    for (std::size_t priority = std::size_t{core::MaxPriority} + 1; priority-- > 0 && !result.next;) {
        const std::size_t newLane = 2 * priority;
        const std::size_t nestedLane = newLane + 1;
        const bool isNewFirst = m_isNewNext;
        takeFromLane(m_lanes[isNewFirst ? newLane : nestedLane], now, minServiceTime, result);
        if (!result.next) {
            takeFromLane(m_lanes[isNewFirst ? nestedLane : newLane], now, minServiceTime, result);
        }
    }
    if (result.next) {
        m_isNewNext = (*result.next)->isNested;
    }
    return result;
}

void AdmissionQueue::takeFromLane(Lane &lane, core::TimePoint now, core::Duration minServiceTime, TakeResult &result)
{
    while (lane.size > 0) {
        const std::uint64_t id = selectNext(lane);
        const QueueEntry entry = *remove(id);
        if (entry->deadline - now <= minServiceTime) {
            result.tooLate.push_back(id);
            continue;
        }
        Backlog &backlog = lane.backlogs[entry->workspace];
        backlog.virtualStart = std::max(backlog.virtualStart, lane.virtualTime) + 1 / backlog.weight;
        removeIdleBacklogs(lane);
        result.next = entry;
        return;
    }
}

void AdmissionQueue::removeIdleBacklogs(Lane &lane)
{
    std::erase_if(lane.backlogs, [&](const auto &backlog) {
        return backlog.second.entries.empty() && backlog.second.virtualStart <= lane.virtualTime;
    });
}

std::optional<QueueEntry> AdmissionQueue::remove(std::uint64_t id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    const QueueEntry entry = found->second;
    Lane &lane = m_lanes[laneOf(entry)];
    Backlog &backlog = lane.backlogs[entry->workspace];
    backlog.entries.erase({orderOf(entry), id});
    --lane.size;
    m_newCount -= entry->isNested ? 0 : 1;
    m_entries.erase(found);
    return entry;
}

std::vector<std::uint64_t> AdmissionQueue::clear()
{
    std::vector<std::uint64_t> ids;
    ids.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        remove(id);
    }
    return ids;
}

}
