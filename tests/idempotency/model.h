#pragma once

#include "berylspring/idempotency/service.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace berylspring::idempotency::test {

/** @brief Virtual time that advances only when no coroutine is ready, so that a run depends on its seed alone. */
class VirtualClock
{
public:
    using Timer = std::shared_ptr<boost::asio::steady_timer>;

    explicit VirtualClock(boost::asio::io_context &context);

    [[nodiscard]] core::TimePoint now() const
    {
        return m_now;
    }
    void skip(core::Duration duration)
    {
        m_now += duration;
    }
    [[nodiscard]] Timer timer() const;
    /** @brief Waits for the duration, or until the timer is cancelled. */
    [[nodiscard]] boost::asio::awaitable<void> wait(Timer timer, core::Duration duration);
    [[nodiscard]] boost::asio::awaitable<void> sleep(core::Duration duration);
    /** @brief Runs all coroutines and timers that are due until `end`. */
    void runUntil(core::TimePoint end);

private:
    boost::asio::io_context &m_context;
    core::TimePoint m_now{std::chrono::hours(1)};
    std::multimap<core::TimePoint, Timer> m_timers;
};

/** @brief Faults that are injected into a run. */
struct Faults
{
    bool hasLoss = false; ///< Messages between nodes get lost.
    bool hasDelay = false; ///< Some messages take up to 2 s.
    bool hasKills = false; ///< Nodes die at suspension points.
    bool hasPauses = false; ///< Nodes pause for up to 6 s at suspension points and are declared dead after 2 s.
    bool hasViewDelays = false; ///< Nodes learn of membership changes with delays of up to 2 s.
    bool hasStops = false; ///< Planned stops.
    bool hasJoins = false; ///< Nodes without records join.
    bool hasPartition = false; ///< The data centres can't reach each other for 4 s.
    bool isColdStart = false; ///< All nodes started 6 s ago, less than the retention.
    bool hasRefusals = true; ///< The endpoint refuses some requests and loses some responses.
    [[nodiscard]] bool operator==(const Faults &) const = default;
};

/** @brief Simulates two data centres of four nodes each, callers that resend, and one endpoint that logs its runs. */
class Model
{
public:
    Model(std::uint64_t seed, Faults faults);
    ~Model();

    void run();

    /** @return Description of a violation of at-most-once execution; empty if there is none. */
    [[nodiscard]] std::string violation() const;
    [[nodiscard]] std::size_t answeredNames() const;
    [[nodiscard]] std::size_t notRunVerdicts() const
    {
        return m_verdicts.size();
    }

    static constexpr int NameCount = 6;

private:
    struct Host
    {
        core::HostId id;
        core::DataCentreId dataCentre;
        core::TimePoint born;
        std::optional<core::TimePoint> died;
        std::optional<core::TimePoint> announcedStop;
        std::optional<core::TimePoint> left;
        std::vector<std::pair<core::TimePoint, core::TimePoint>> pauses;
        std::unique_ptr<IdempotencyService> service;
    };
    struct Send
    {
        std::string name;
        core::TimePoint entered;
    };
    struct Effect
    {
        std::string name;
        std::size_t send;
    };
    struct Verdict
    {
        std::string name;
        core::TimePoint made;
    };
    struct Reply;

    using Awaitable = boost::asio::awaitable<void>;

    std::uint64_t below(std::uint64_t bound);
    bool chance(std::uint64_t percent);
    core::Duration delay();
    Host &join(const std::string &id, const std::string &dataCentre);
    Host *find(const core::HostId &id);
    [[nodiscard]] core::Duration viewDelay(const Host &observer, const Host &other, std::uint64_t salt) const;
    [[nodiscard]] bool seesAsDead(const Host &observer, const Host &other) const;
    [[nodiscard]] bool wasDeclaredDead(const Host &observer, const Host &other) const;
    [[nodiscard]] std::vector<core::HostId>
    viewOf(const Host &observer, const core::DataCentreId &dataCentre, bool isRecent) const;
    [[nodiscard]] bool isPartitioned(const Host &from, const Host &to) const;

    /** Suspension point where the process may be paused or killed. A killed process never resumes. */
    Awaitable checkpoint(Host &host);
    Awaitable suspendForever();
    boost::asio::awaitable<wire::Result<wire::Message>>
    call(Host &from, core::HostId to, wire::Message message, core::Duration timeout);
    Awaitable deliver(Host &from, core::HostId to, wire::Message message, std::shared_ptr<Reply> reply);
    boost::asio::awaitable<wire::CallResponse> dispatch(Host &home, wire::CallRequest request);
    Awaitable runOnEndpoint(wire::CallRequest request, std::shared_ptr<Reply> reply);
    Awaitable caller(std::string name);
    Awaitable send(std::string name, std::shared_ptr<Reply> reply, core::Duration remaining);
    Awaitable stopGracefully(Host &host);
    Awaitable changeFleet();
    void noteReply(const std::string &name, const wire::CallResponse &response);

    std::mt19937_64 m_random;
    std::uint64_t m_viewSeed;
    Faults m_faults;
    boost::asio::io_context m_context;
    VirtualClock m_clock;
    std::deque<Host> m_hosts;
    std::map<core::DataCentreId, int> m_remainingKills;
    std::pair<core::TimePoint, core::TimePoint> m_partition;
    std::vector<Send> m_sends;
    std::vector<Effect> m_effects;
    std::map<std::string, core::TimePoint> m_refused; ///< Time of the last refusal by the endpoint.
    std::vector<Verdict> m_verdicts;
    std::map<std::string, std::vector<std::string>> m_answers;
};

}
