#include "limit/fleet.h"

#include "berylspring/core/rendezvous.h"

#include <algorithm>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::test {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

const core::WorkspaceId workspace("tenant");
constexpr core::Duration HeartbeatInterval = 100ms;
/** Age at which a node may own buckets; by then it knows the others of its data centre. */
constexpr core::Duration JoinDelay = 350ms;
/** The membership removes an unresponsive host 1.7 to 2.2 s after its last answer, depending on the observer. */
constexpr core::Duration SuspectedFor = 1700ms;
constexpr int LocalDelayMicroseconds = 200;
constexpr int RemoteDelayMicroseconds = 1500;

}

struct Fleet::Process
{
    int host = 0;
    int dataCentre = 0;
    core::HostId id;
    core::TimePoint startedAt;
    core::TimePoint pausedUntil{};
    core::TimePoint lastAck;
    bool isDead = false;
    bool isLeaving = false;
    limit::WorkspaceLimit limit{1, 1};
    core::Duration clockOffset{}; ///< Steady clocks of different hosts have unrelated epochs.
    std::set<int> view;
    std::shared_ptr<limit::detail::LimitContext> context;
    std::shared_ptr<limit::detail::BucketManager> bucketManager;
    std::shared_ptr<limit::detail::EntryLimiter> entryLimiter;
};

struct Fleet::Exchange
{
    std::weak_ptr<Process> caller;
    int callerHost = 0;
    asio::steady_timer signal;
    std::optional<wire::Result<wire::Message>> result;
};

struct Fleet::Event
{
    std::optional<std::weak_ptr<Process>> process;
    std::function<void()> action;
};

Fleet::Fleet(FleetPlan plan)
    : m_plan(plan)
    , m_random(plan.seed)
{
    for (int i = 0; i < plan.dataCentres; ++i) {
        m_dataCentres.emplace_back("dc-" + std::to_string(i));
    }
    m_processes.resize(static_cast<std::size_t>(hostCount()));
    m_silentSince.resize(m_processes.size(), core::TimePoint::max());
    for (int host = 0; host < hostCount(); ++host) {
        start(host);
    }
    for (const auto &process : m_processes) {
        for (int host = 0; host < hostCount(); ++host) {
            process->view.insert(host);
        }
    }
    at(0ms, [this] { heartbeat(); });
}

Fleet::~Fleet() = default;

int Fleet::hostCount() const
{
    return m_plan.dataCentres * m_plan.hostsPerDataCentre;
}

core::Duration Fleet::elapsed() const
{
    return m_now - m_start;
}

const std::vector<core::Duration> &Fleet::admissions() const
{
    return m_admissions;
}

int Fleet::refusals() const
{
    return m_refusals;
}

std::uint64_t Fleet::messages() const
{
    return m_messages;
}

double Fleet::chance()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void Fleet::schedule(core::TimePoint time, std::weak_ptr<Process> process, std::function<void()> action)
{
    m_events.emplace(std::pair(time, ++m_sequence), Event{std::move(process), std::move(action)});
}

void Fleet::at(core::Duration time, std::function<void()> action)
{
    m_events.emplace(std::pair(m_start + time, ++m_sequence), Event{std::nullopt, std::move(action)});
}

void Fleet::run(core::Duration until)
{
    while (!m_events.empty() && m_events.begin()->first.first <= m_start + until) {
        auto node = m_events.extract(m_events.begin());
        m_now = std::max(m_now, node.key().first);
        Event &event = node.mapped();
        if (event.process) {
            const ProcessPointer process = event.process->lock();
            if (!process || process->isDead) {
                continue;
            }
            if (process->pausedUntil > m_now) {
                schedule(process->pausedUntil, process, std::move(event.action));
                continue;
            }
        }
        event.action();
        m_context.restart();
        m_context.poll();
    }
}

bool Fleet::isSilent(int host) const
{
    const auto &process = m_processes[static_cast<std::size_t>(host)];
    return process->isDead || process->pausedUntil > m_now;
}

void Fleet::heartbeat()
{
    for (int host = 0; host < hostCount(); ++host) {
        core::TimePoint &since = m_silentSince[static_cast<std::size_t>(host)];
        since = isSilent(host) ? std::min(since, m_now) : core::TimePoint::max();
    }
    for (const auto &process : m_processes) {
        if (isSilent(process->host)) {
            continue;
        }
        updateView(*process);
        const bool hasPeer = std::any_of(m_processes.begin(), m_processes.end(), [&](const auto &peer) {
            return peer != process && peer->dataCentre == process->dataCentre && !isSilent(peer->host);
        });
        process->lastAck = hasPeer ? m_now : process->lastAck;
        process->bucketManager->tick();
        process->entryLimiter->tick();
    }
    at(elapsed() + HeartbeatInterval, [this] { heartbeat(); });
}

void Fleet::updateView(Process &observer)
{
    for (const auto &peer : m_processes) {
        const auto spread = core::Duration(500us * ((observer.host * 7 + peer->host * 13) % 1000));
        const core::TimePoint since = m_silentSince[static_cast<std::size_t>(peer->host)];
        if (since != core::TimePoint::max() ? m_now - since > SuspectedFor + spread : peer->isLeaving) {
            observer.view.erase(peer->host);
        } else if (since == core::TimePoint::max() && m_now - peer->startedAt > spread / 2) {
            observer.view.insert(peer->host);
        }
    }
    observer.view.insert(observer.host);
}

limit::LimitHooks Fleet::hooksOf(Process &process)
{
    Process *self = &process; // The hooks are owned by the process.
    limit::LimitHooks hooks;
    hooks.now = [this, self] { return m_now + self->clockOffset; };
    hooks.lastPeerAck = [self] { return self->lastAck + self->clockOffset; };
    hooks.resumeCount = [] { return std::uint64_t(0); };
    hooks.random = [this] { return m_random(); };
    hooks.limitOf = [self](const core::WorkspaceId &) { return std::optional(self->limit); };
    hooks.limitedWorkspaces = [] { return std::vector<core::WorkspaceId>{workspace}; };
    hooks.liveHosts = [this, self](const core::DataCentreId &dataCentre) {
        std::vector<core::HostId> hosts;
        const bool hasJoined = m_now - self->startedAt >= JoinDelay;
        for (const int host : self->view) {
            const auto &peer = m_processes[static_cast<std::size_t>(host)];
            if ((hasJoined || host != self->host)
                && m_dataCentres[static_cast<std::size_t>(peer->dataCentre)] == dataCentre) {
                hosts.push_back(peer->id);
            }
        }
        return hosts;
    };
    return hooks;
}

void Fleet::start(int host)
{
    if (m_processes[static_cast<std::size_t>(host)]) {
        kill(host);
    }
    auto process = std::make_shared<Process>();
    process->host = host;
    process->dataCentre = host / m_plan.hostsPerDataCentre;
    process->id = core::HostId("host-" + std::to_string(host));
    process->startedAt = m_now;
    process->lastAck = m_now;
    process->limit = m_plan.limit;
    process->clockOffset = std::chrono::milliseconds(m_random() % 1000000);
    for (int peer = 0; peer < hostCount(); ++peer) {
        // The membership treats announced hosts, paused ones included, as alive until they are found to be dead.
        if (m_processes[static_cast<std::size_t>(peer)] && !m_processes[static_cast<std::size_t>(peer)]->isDead) {
            process->view.insert(peer);
        }
    }
    process->view.insert(host);
    limit::LimitSettings settings{
        process->id, m_dataCentres[static_cast<std::size_t>(process->dataCentre)], m_dataCentres, m_plan.isFirstStart};
    limit::LimitHooks hooks = hooksOf(*process);
    const std::weak_ptr<Process> weak = process;
    hooks.call = [this, weak, host](core::HostId to, wire::Message message, core::Duration timeout) {
        return call(weak, host, to, message, timeout);
    };
    m_processes[static_cast<std::size_t>(host)] = process;
    process->context =
        std::make_shared<limit::detail::LimitContext>(m_context.get_executor(), std::move(settings), std::move(hooks));
    process->context->sleep = [this, weak](core::Duration duration) { return sleep(weak, duration); };
    process->bucketManager = std::make_shared<limit::detail::BucketManager>(process->context);
    process->entryLimiter = std::make_shared<limit::detail::EntryLimiter>(process->context, process->bucketManager);
}

void Fleet::kill(int host)
{
    m_processes[static_cast<std::size_t>(host)]->isDead = true;
}

void Fleet::pause(int host, core::Duration duration)
{
    const ProcessPointer process = m_processes[static_cast<std::size_t>(host)];
    process->pausedUntil = m_now + duration;
    m_silentSince[static_cast<std::size_t>(host)] = std::min(m_silentSince[static_cast<std::size_t>(host)], m_now);
    // A resumed process first reads a delayed acknowledgement.
    schedule(process->pausedUntil, process, [this, process] { process->lastAck = m_now; });
}

void Fleet::stopGracefully(int host)
{
    const ProcessPointer process = m_processes[static_cast<std::size_t>(host)];
    if (process->isDead || process->isLeaving) {
        return;
    }
    asio::co_spawn(m_context, process->bucketManager->stop(), asio::detached);
    at(elapsed() + 300ms, [process] { process->isLeaving = true; });
    at(elapsed() + 500ms, [process] { process->isDead = true; });
}

void Fleet::partition(int dataCentre, core::Duration duration)
{
    m_partitionedUntil[dataCentre] = m_now + duration;
}

void Fleet::changeLimit(limit::WorkspaceLimit limit)
{
    m_plan.limit = limit;
    for (const auto &process : m_processes) {
        at(elapsed() + std::chrono::milliseconds(m_random() % 1000), [process, limit] { process->limit = limit; });
    }
}

int Fleet::indexOf(const core::HostId &id) const
{
    const auto found =
        std::find_if(m_processes.begin(), m_processes.end(), [&](const auto &process) { return process->id == id; });
    return (*found)->host;
}

int Fleet::ownerIn(int dataCentre) const
{
    std::vector<core::HostId> hosts;
    for (const auto &process : m_processes) {
        if (process->dataCentre == dataCentre && !process->isDead) {
            hosts.push_back(process->id);
        }
    }
    return hosts.empty() ? dataCentre * m_plan.hostsPerDataCentre
                         : indexOf(core::rendezvousFirst(workspace.value(), hosts));
}

bool Fleet::isLost(int from, int to)
{
    const int one = from / m_plan.hostsPerDataCentre;
    const int other = to / m_plan.hostsPerDataCentre;
    const auto isPartitioned = [&](int dataCentre) {
        const auto found = m_partitionedUntil.find(dataCentre);
        return found != m_partitionedUntil.end() && found->second > m_now;
    };
    return (one != other && (isPartitioned(one) || isPartitioned(other))) || chance() < m_plan.loss;
}

core::Duration Fleet::delay(int from, int to)
{
    const bool isLocal = from / m_plan.hostsPerDataCentre == to / m_plan.hostsPerDataCentre;
    const core::Duration base = isLocal ? LocalDelayMicroseconds * 1us : RemoteDelayMicroseconds * 1us;
    return base + std::chrono::duration_cast<core::Duration>(m_plan.maxExtraDelay * chance());
}

asio::awaitable<void> Fleet::sleep(std::weak_ptr<Process> process, core::Duration duration)
{
    auto signal = std::make_shared<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
    schedule(m_now + duration, process, [signal] { signal->cancel(); });
    co_await signal->async_wait(asio::as_tuple(asio::use_awaitable));
}

void Fleet::answer(const std::shared_ptr<Exchange> &exchange, core::Duration delay, wire::Result<wire::Message> result)
{
    schedule(m_now + delay, exchange->caller, [exchange, result = std::move(result)] {
        if (!exchange->result) {
            exchange->result = result;
            exchange->signal.cancel();
        }
    });
}

asio::awaitable<wire::Result<wire::Message>> Fleet::call(const std::weak_ptr<Process> &process,
                                                         int from,
                                                         const core::HostId &to,
                                                         const wire::Message &message,
                                                         core::Duration timeout)
{
    const int target = indexOf(to);
    asio::steady_timer signal(m_context, asio::steady_timer::time_point::max());
    std::shared_ptr<Exchange> exchange(new Exchange{process, from, std::move(signal), std::nullopt});
    answer(exchange, timeout, tl::make_unexpected(wire::Error(wire::ErrorCode::Timeout, true)));
    ++m_messages;
    if (!isLost(from, target)) {
        deliver(from, target, message, exchange);
    }
    if (chance() < m_plan.duplication) {
        at(elapsed() + std::chrono::milliseconds(m_random() % 1000),
           [this, from, target, message] { deliver(from, target, message, nullptr); });
    }
    return result(std::move(exchange));
}

asio::awaitable<wire::Result<wire::Message>> Fleet::result(std::shared_ptr<Exchange> exchange)
{
    co_await exchange->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return *exchange->result;
}

void Fleet::deliver(int from, int to, const wire::Message &message, const std::shared_ptr<Exchange> &exchange)
{
    const ProcessPointer process = m_processes[static_cast<std::size_t>(to)];
    const core::Duration late = delay(from, to);
    if (process->isDead) {
        if (exchange) {
            answer(exchange, late * 2, tl::make_unexpected(wire::Error(wire::ErrorCode::Unreachable, false)));
        }
        return;
    }
    schedule(m_now + late, process, [this, process, from, message, exchange] {
        auto copy = std::make_shared<const wire::Message>(message);
        asio::co_spawn(m_context, serve(process, from, copy, exchange), asio::detached);
    });
}

asio::awaitable<void> Fleet::serve(ProcessPointer process,
                                   int from,
                                   std::shared_ptr<const wire::Message> message,
                                   std::shared_ptr<Exchange> exchange)
{
    const core::HostId sender("host-" + std::to_string(from));
    wire::Message reply;
    if (const auto *grant = std::get_if<wire::GrantRequest>(message.get())) {
        reply = co_await process->bucketManager->grant(sender, *grant);
    } else if (const auto *loan = std::get_if<wire::LoanRequest>(message.get())) {
        reply = co_await process->bucketManager->lend(*loan);
    } else if (const auto *handover = std::get_if<wire::HandoverRequest>(message.get())) {
        reply = process->bucketManager->handOverTo(sender, *handover);
    }
    ++m_messages;
    if (exchange && !isLost(process->host, from)) {
        answer(exchange, delay(process->host, from), reply);
    }
}

asio::awaitable<void> Fleet::admitOne(ProcessPointer process)
{
    const auto admission = co_await process->entryLimiter->admit(workspace, 30ms);
    if (admission) {
        m_admissions.push_back(elapsed());
    } else {
        ++m_refusals;
    }
}

void Fleet::request(int host)
{
    const ProcessPointer process = m_processes[static_cast<std::size_t>(host)];
    if (!process->isDead && process->pausedUntil <= m_now) {
        asio::co_spawn(m_context, admitOne(process), asio::detached);
    }
}

double excess(const std::vector<core::Duration> &admissions,
              limit::WorkspaceLimit limit,
              core::Duration from,
              core::Duration to)
{
    double level = 0;
    double highest = 0;
    core::Duration last = from;
    for (const core::Duration time : admissions) {
        if (time >= from && time <= to) {
            level = std::max(0.0, level - limit.rate() * std::chrono::duration<double>(time - last).count()) + 1;
            highest = std::max(highest, level);
            last = time;
        }
    }
    return highest - limit.burst();
}

}
