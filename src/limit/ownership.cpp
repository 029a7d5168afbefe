#include "berylspring/limit/ownership.h"

#include "berylspring/core/rendezvous.h"
#include "berylspring/limit/tuning.h"

#include <algorithm>

namespace berylspring::limit {

namespace {

/** Retention of departed hosts: longer than any wait that one of them can cause. */
constexpr core::Duration DepartedRetention = std::chrono::minutes(10);

bool outranks(std::string_view workspace, const core::HostId &host, const core::HostId &other)
{
    return core::rendezvousFirst(workspace, {host, other}) == host;
}

}

NodeLease
NodeLease::observed(core::TimePoint now, core::TimePoint lastAck, bool hasPeers, std::uint64_t resumeCount) const
{
    NodeLease next = *this;
    if (now >= m_until || resumeCount != m_resumeCount) {
        next.m_resumeCount = resumeCount;
        next.m_brokenAt = now;
        next.m_until = now;
        ++next.m_epoch;
    }
    const core::TimePoint renewed = (hasPeers ? std::min(lastAck, now) : now) + LeaseDuration;
    next.m_until = std::max(next.m_until, renewed);
    return next;
}

ViewHistory ViewHistory::observed(std::vector<core::HostId> live, core::TimePoint now) const
{
    std::sort(live.begin(), live.end());
    ViewHistory next;
    next.m_departed = m_departed;
    for (const core::HostId &host : m_live) {
        if (!std::binary_search(live.begin(), live.end(), host)) {
            next.m_departed[host] = now;
        }
    }
    std::erase_if(next.m_departed, [&](const auto &entry) {
        return now - entry.second > DepartedRetention || std::binary_search(live.begin(), live.end(), entry.first);
    });
    next.m_live = std::move(live);
    return next;
}

ViewHistory ViewHistory::without(const core::HostId &host, core::TimePoint now) const
{
    std::vector<core::HostId> rest = m_live;
    std::erase(rest, host);
    ViewHistory next = observed(std::move(rest), now);
    next.m_departed[host] = now;
    return next;
}

StartPlan planStart(std::string_view workspace,
                    const core::HostId &self,
                    const ViewHistory &view,
                    const NodeLease &lease,
                    core::TimePoint now,
                    const std::optional<core::HostId> &knownPredecessor)
{
    std::vector<core::HostId> others;
    std::copy_if(view.live().begin(), view.live().end(), std::back_inserter(others), [&](const core::HostId &host) {
        return host != self;
    });
    const bool isSettled = others.empty() || now - lease.brokenAt() >= SettleTime;
    StartPlan plan;
    plan.predecessor = knownPredecessor;
    core::HostId next = self;
    if (!isSettled) {
        // Hosts that do not know this one yet treat the next host in the rendezvous order as the owner.
        next = core::rendezvousFirst(workspace, others);
        plan.predecessor = knownPredecessor ? knownPredecessor : next;
    }
    plan.readyAt = isSettled && !others.empty() ? lease.brokenAt() + SettleTime : lease.brokenAt();
    for (const auto &[host, at] : view.departed()) {
        if (host != knownPredecessor && outranks(workspace, host, next)) {
            plan.readyAt = std::max(plan.readyAt, at + LeaseWait);
        }
    }
    plan.readyAt += LoanWait;
    return plan;
}

}
