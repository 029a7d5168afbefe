#pragma once

#include "berylspring/core/time.h"
#include "berylspring/routing/cost_table.h"

#include <cstddef>
#include <mutex>

namespace berylspring::admission {

/**
 * @brief Expected time of the requests that run and wait on the endpoint of this host. Thread-safe.
 *
 * The time of each class of requests is learned on this endpoint, so that its slowness is part of it.
 */
class OutstandingWork
{
public:
    /** @brief One request, counted from its arrival until release() or its destruction. */
    class Share
    {
    public:
        /** @param work Must outlive the share. */
        Share(OutstandingWork &work, routing::CostClass costClass);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /** @brief Ends the request, so that it does not count as outstanding in its own response. */
        void release();
        /** @brief Learns the time that the endpoint took, without queueing. */
        void learn(core::Duration serviceTime, core::TimePoint now);

    private:
        OutstandingWork &m_work;
        routing::CostClass m_costClass;
        double m_seconds;
        bool m_isReleased = false;
    };

    /** @return Expected time of all requests that run and wait, in seconds. */
    [[nodiscard]] double seconds() const;

private:
    mutable std::mutex m_mutex;
    routing::CostTable m_costs;
    double m_seconds = 0;
    std::size_t m_requests = 0;
};

}
