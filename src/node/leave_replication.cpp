#include "node/leave_replication.h"

#include <algorithm>

namespace berylspring::node::detail {

namespace {

/** Bounds the calls to a log that fails. */
constexpr core::Duration LogRetryInterval = std::chrono::seconds(2);
/** Bounds the calls to a peer that does not answer. */
constexpr core::Duration NoticeRetryInterval = std::chrono::seconds(1);

}

std::uint64_t LeaveReplication::addChange()
{
    const std::scoped_lock lock(m_mutex);
    // A leave must not wait for the retry interval of an earlier one.
    m_nextAppendAt = core::TimePoint::min();
    m_isLogFailing = false;
    return ++m_latestChange;
}

void LeaveReplication::foundInLog(std::uint64_t change, std::uint64_t generation)
{
    const std::scoped_lock lock(m_mutex);
    m_loggedChange = std::max(m_loggedChange, change);
    m_loggedGeneration = std::max(m_loggedGeneration, generation);
}

std::uint64_t LeaveReplication::latestChange() const
{
    const std::scoped_lock lock(m_mutex);
    return m_latestChange;
}

bool LeaveReplication::takeAppend(std::uint64_t generation, core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const bool isLogged = m_loggedChange >= m_latestChange && m_loggedGeneration >= generation;
    if (m_latestChange == 0 || isLogged || m_isAppending || now < m_nextAppendAt) {
        return false;
    }
    m_isAppending = true;
    return true;
}

void LeaveReplication::appended(std::uint64_t change, std::uint64_t generation)
{
    const std::scoped_lock lock(m_mutex);
    m_isAppending = false;
    m_isLogFailing = false;
    m_loggedChange = std::max(m_loggedChange, change);
    m_loggedGeneration = std::max(m_loggedGeneration, generation);
}

void LeaveReplication::appendFailed(core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_isAppending = false;
    m_isLogFailing = true;
    m_nextAppendAt = now + LogRetryInterval;
}

std::vector<admission::NoticeReceiver> LeaveReplication::takeDue(const std::vector<admission::NoticeReceiver> &holders,
                                                                 core::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<admission::NoticeReceiver> due;
    for (const admission::NoticeReceiver &holder : holders) {
        Delivery &delivery = m_deliveries[holder.host];
        if (delivery.incarnation != holder.incarnation) {
            // A process that has started since keeps nothing.
            delivery = {.incarnation = holder.incarnation, .sentAt = core::TimePoint::min()};
        }
        const bool isWaiting = delivery.sentChange >= m_latestChange && now - NoticeRetryInterval < delivery.sentAt;
        if (delivery.acknowledgedChange < m_latestChange && !isWaiting) {
            delivery.sentChange = m_latestChange;
            delivery.sentAt = now;
            due.push_back(holder);
        }
    }
    std::erase_if(m_deliveries, [&](const auto &entry) {
        return std::none_of(holders.begin(), holders.end(), [&](const admission::NoticeReceiver &holder) {
            return holder.host == entry.first;
        });
    });
    return due;
}

void LeaveReplication::acknowledged(const admission::NoticeReceiver &holder, std::uint64_t change)
{
    const std::scoped_lock lock(m_mutex);
    m_keptChange = std::max(m_keptChange, change);
    const auto found = m_deliveries.find(holder.host);
    if (found != m_deliveries.end() && found->second.incarnation == holder.incarnation) {
        found->second.acknowledgedChange = std::max(found->second.acknowledgedChange, change);
    }
}

LeaveCopies LeaveReplication::copies(std::uint64_t change) const
{
    const std::scoped_lock lock(m_mutex);
    return {
        .isLogged = m_loggedChange >= change, .isLogFailing = m_isLogFailing, .isKeptByPeer = m_keptChange >= change};
}

}
