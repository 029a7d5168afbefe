#pragma once

#include "berylspring/limit/workspace_limit.h"
#include "limit/bucket_manager.h"
#include "limit/entry_limiter.h"
#include "limit/limit_context.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace berylspring::test {

/** @brief Size and network of a fleet. */
struct FleetPlan
{
    int dataCentres = 3;
    int hostsPerDataCentre = 2;
    limit::WorkspaceLimit limit{300, 60};
    std::uint64_t seed = 0;
    bool isFirstStart = false;
    double loss = 0; ///< Probability for one message.
    double duplication = 0; ///< Probability for one request.
    core::Duration maxExtraDelay{};
};

/** @brief Simulates hosts of several data centres with the real limiter code, on one thread with a virtual clock. */
class Fleet
{
public:
    explicit Fleet(FleetPlan plan);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** @brief Calls the action at a time after the start. */
    void at(core::Duration time, std::function<void()> action);
    /** @brief Runs everything up to a time after the start. */
    void run(core::Duration until);
    [[nodiscard]] core::Duration elapsed() const;

    [[nodiscard]] int hostCount() const;
    void request(int host);
    void pause(int host, core::Duration duration);
    void kill(int host);
    void start(int host);
    /** @brief Starts a graceful shutdown: hands buckets over and exits half a second later. */
    void stopGracefully(int host);
    void partition(int dataCentre, core::Duration duration);
    /** @brief Each host applies the limit within a second. */
    void changeLimit(limit::WorkspaceLimit limit);
    /** @return Host of the owner in the given data centre, or its first host if all are dead. */
    [[nodiscard]] int ownerIn(int dataCentre) const;

    [[nodiscard]] const std::vector<core::Duration> &admissions() const;
    [[nodiscard]] int refusals() const;
    [[nodiscard]] std::uint64_t messages() const;

private:
    struct Process;
    struct Exchange;
    struct Event;
    using ProcessPointer = std::shared_ptr<Process>;

    void schedule(core::TimePoint time, std::weak_ptr<Process> process, std::function<void()> action);
    void heartbeat();
    void updateView(Process &observer);
    [[nodiscard]] bool isSilent(int host) const;
    [[nodiscard]] bool isLost(int from, int to);
    [[nodiscard]] core::Duration delay(int from, int to);
    [[nodiscard]] double chance();
    [[nodiscard]] int indexOf(const core::HostId &id) const;
    [[nodiscard]] limit::LimitHooks hooksOf(Process &process);
    [[nodiscard]] boost::asio::awaitable<void> sleep(std::weak_ptr<Process> process, core::Duration duration);
    [[nodiscard]] boost::asio::awaitable<wire::Result<wire::Message>> call(const std::weak_ptr<Process> &process,
                                                                           int from,
                                                                           const core::HostId &to,
                                                                           const wire::Message &message,
                                                                           core::Duration timeout);
    [[nodiscard]] static boost::asio::awaitable<wire::Result<wire::Message>> result(std::shared_ptr<Exchange> exchange);
    [[nodiscard]] boost::asio::awaitable<void> serve(ProcessPointer process,
                                                     int from,
                                                     std::shared_ptr<const wire::Message> message,
                                                     std::shared_ptr<Exchange> exchange);
    [[nodiscard]] boost::asio::awaitable<void> admitOne(ProcessPointer process);
    void deliver(int from, int to, const wire::Message &message, const std::shared_ptr<Exchange> &exchange);
    void answer(const std::shared_ptr<Exchange> &exchange, core::Duration delay, wire::Result<wire::Message> result);

    FleetPlan m_plan;
    std::mt19937_64 m_random;
    boost::asio::io_context m_context;
    core::TimePoint m_start{std::chrono::hours(1)};
    core::TimePoint m_now = m_start;
    std::uint64_t m_sequence = 0;
    std::vector<core::DataCentreId> m_dataCentres;
    std::vector<ProcessPointer> m_processes;
    std::vector<core::TimePoint> m_silentSince;
    std::map<int, core::TimePoint> m_partitionedUntil;
    std::vector<core::Duration> m_admissions;
    int m_refusals = 0;
    std::uint64_t m_messages = 0;
    std::map<std::pair<core::TimePoint, std::uint64_t>, Event> m_events;
};

/** @return Largest excess of admissions over rate x window + burst in any window; negative if none exceeds it. */
[[nodiscard]] double excess(const std::vector<core::Duration> &admissions,
                            limit::WorkspaceLimit limit,
                            core::Duration from,
                            core::Duration to);

}
