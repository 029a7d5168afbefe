#pragma once

#include "berylspring/limit/limit_service.h"
#include "berylspring/limit/ownership.h"

#include <memory>
#include <mutex>

namespace berylspring::limit::detail {

/** @brief Lease and view of this node at one moment. */
struct NodeSnapshot
{
    core::TimePoint now;
    NodeLease lease;
    std::shared_ptr<const ViewHistory> view; ///< The same object while the view is unchanged.
    std::vector<core::HostId> retired; ///< Hosts that announced their stop lately.

    [[nodiscard]] bool isLeaseValid() const noexcept
    {
        return now < lease.until();
    }
};

/** @brief Watches the hosts of the own data centre and the lease of this node. */
class NodeState
{
public:
    NodeState(const LimitSettings &settings, const LimitHooks &hooks);

    [[nodiscard]] NodeSnapshot observe();
    /** @brief Leaves a host that stops by plan out of the view until it is gone from it. */
    void retire(const core::HostId &host);

private:
    void refreshView(core::TimePoint now);

    const LimitSettings &m_settings;
    const LimitHooks &m_hooks;
    std::mutex m_mutex;
    NodeLease m_lease;
    std::shared_ptr<const ViewHistory> m_view = std::make_shared<ViewHistory>();
    core::TimePoint m_viewAt{};
    std::map<core::HostId, core::TimePoint> m_retired;
};

}
