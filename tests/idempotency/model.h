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

/** @brief Time that moves only when no coroutine can run, so that a run depends on its seed alone. */
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
    /** @brief Waits for the time, or until the timer is cancelled. */
    [[nodiscard]] boost::asio::awaitable<void> wait(Timer timer, core::Duration duration);
    [[nodiscard]] boost::asio::awaitable<void> sleep(core::Duration duration);
    /** @brief Runs everything that is due up to the time. */
    void runUntil(core::TimePoint end);

private:
    boost::asio::io_context &m_context;
    core::TimePoint m_now{std::chrono::hours(1)};
    std::multimap<core::TimePoint, Timer> m_timers;
};

/** @brief Kinds of faults that a run may contain. */
struct Faults
{
    bool hasLoss = false; ///< Requests and answers between nodes get lost.
    bool hasDelay = false; ///< Some messages take up to 2 s.
    bool hasKills = false; ///< Nodes die where they would go on after a wait.
    bool hasPauses = false; ///< Nodes stand still for up to 6 s at such places and are taken for dead meanwhile.
    bool hasViews = false; ///< Nodes learn of changes up to 2 s apart.
    bool hasStops = false; ///< Planned stops.
    bool hasJoins = false; ///< Nodes join that know nothing.
    bool hasPartition = false; ///< The data centres are cut off from each other for some seconds.
    bool isFresh = false; ///< All nodes started just now.
    bool hasRefusals = true; ///< The endpoint's nodes refuse, and lose answers.
    [[nodiscard]] bool operator==(const Faults &) const = default;
};

/** @brief Two data centres with a few nodes each, callers that resend, and one endpoint that counts effects. */
class Model
{
public:
    Model(std::uint64_t seed, Faults faults);
    ~Model();

    void run();

    /** @return What broke the promise of at most once, or an empty text. */
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
    [[nodiscard]] core::Duration learns(const Host &observer, const Host &other, std::uint64_t salt) const;
    [[nodiscard]] bool seesAsDead(const Host &observer, const Host &other) const;
    [[nodiscard]] bool wasAway(const Host &observer, const Host &other) const;
    [[nodiscard]] std::vector<core::HostId>
    viewOf(const Host &observer, const core::DataCentreId &dataCentre, bool isRecent) const;
    [[nodiscard]] bool isCut(const Host &from, const Host &to) const;

    /** A point where the process may be paused or killed. A killed one never goes on. */
    Awaitable checkpoint(Host &host);
    Awaitable hang();
    boost::asio::awaitable<wire::Result<wire::Message>>
    call(Host &from, core::HostId to, wire::Message message, core::Duration timeout);
    Awaitable deliver(Host &from, core::HostId to, wire::Message message, std::shared_ptr<Reply> reply);
    boost::asio::awaitable<wire::CallResponse> dispatch(Host &home, wire::CallRequest request);
    Awaitable runOnEndpoint(wire::CallRequest request, std::shared_ptr<Reply> reply);
    Awaitable caller(std::string name);
    Awaitable send(std::string name, std::shared_ptr<Reply> reply, core::Duration remaining);
    Awaitable stopByPlan(Host &host);
    Awaitable changeFleet();
    void noteReply(const std::string &name, const wire::CallResponse &response);

    std::mt19937_64 m_random;
    std::uint64_t m_viewSeed;
    Faults m_faults;
    boost::asio::io_context m_context;
    VirtualClock m_clock;
    std::deque<Host> m_hosts;
    std::map<core::DataCentreId, int> m_killsLeft;
    std::pair<core::TimePoint, core::TimePoint> m_cut;
    std::vector<Send> m_sends;
    std::vector<Effect> m_effects;
    std::map<std::string, core::TimePoint> m_refused; ///< Last refusal by the endpoint's node.
    std::vector<Verdict> m_verdicts;
    std::map<std::string, std::vector<std::string>> m_answers;
};

}
