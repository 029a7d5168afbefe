#pragma once

#include "berylspring/limit/limit_service.h"
#include "berylspring/limit/ownership.h"

#include <memory>
#include <mutex>

namespace berylspring::limit::detail {

/** @brief Lease and view of this node at a point in time. */
struct NodeSnapshot
{
    core::TimePoint now;
    NodeLease lease;
    std::shared_ptr<const ViewHistory> view; ///< The same object while the view is unchanged.
    std::vector<core::HostId> retired; ///< Hosts that recently announced their shutdown.
    bool hasJoined = false; ///< This node knows the other hosts and may become an owner.

    [[nodiscard]] bool isLeaseValid() const noexcept
    {
        return now < lease.until();
    }
};

/** @brief Tracks the hosts of the own data centre and the lease of this node. */
class NodeState
{
public:
    NodeState(const LimitSettings &settings, const LimitHooks &hooks);

    [[nodiscard]] NodeSnapshot observe();
    /** @brief Excludes a host that shuts down gracefully until it has left the view. */
    void retire(const core::HostId &host);
    /** @brief Includes a host again that acts as an owner. */
    void restore(const core::HostId &host);

private:
    void refreshView(core::TimePoint now);

    const LimitSettings &m_settings;
    const LimitHooks &m_hooks;
    std::mutex m_mutex;
    NodeLease m_lease;
    std::shared_ptr<const ViewHistory> m_view = std::make_shared<ViewHistory>();
    core::TimePoint m_viewAt{};
    bool m_hasJoined = false;
    std::map<core::HostId, core::TimePoint> m_retired;
};

}
