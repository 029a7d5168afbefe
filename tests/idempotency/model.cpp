#include "idempotency/model.h"

#include "berylspring/core/rendezvous.h"
#include "berylspring/idempotency/claim_name.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylspring::idempotency::test {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration Horizon = 30s;
constexpr core::Duration Detection = 2s;
constexpr std::uint64_t FaultPercent = 4;
constexpr char SendHeader[] = "x-send";

wire::CallResponse refusal(core::RefusalReason reason, core::Outcome outcome)
{
    wire::CallResponseFields fields;
    fields.refusal = core::Refusal(reason, outcome);
    return wire::CallResponse(std::move(fields));
}

}

VirtualClock::VirtualClock(asio::io_context &context)
    : m_context(context)
{
}

VirtualClock::Timer VirtualClock::timer() const
{
    return std::make_shared<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
}

asio::awaitable<void> VirtualClock::wait(Timer timer, core::Duration duration)
{
    m_timers.emplace(m_now + duration, timer);
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> VirtualClock::sleep(core::Duration duration)
{
    auto waiting = wait(timer(), duration);
    co_await std::move(waiting);
}

void VirtualClock::runUntil(core::TimePoint end)
{
    m_context.restart();
    m_context.poll();
    while (!m_timers.empty() && m_timers.begin()->first <= end) {
        m_now = std::max(m_now, m_timers.begin()->first);
        const Timer due = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        due->cancel();
        m_context.restart();
        m_context.poll();
    }
    m_now = std::max(m_now, end);
}

/** @brief A result that is awaited with a timeout. */
struct Model::Reply
{
    VirtualClock::Timer timer;
    std::optional<wire::Result<wire::Message>> result;

    void set(wire::Result<wire::Message> value)
    {
        result = std::move(value);
        timer->cancel();
    }
};

Model::Model(std::uint64_t seed, Faults faults)
    : m_random(seed)
    , m_viewSeed(seed)
    , m_faults(faults)
    , m_clock(m_context)
{
    for (const char *dataCentre : {"east", "west"}) {
        for (int i = 0; i < 4; ++i) {
            join(std::string(dataCentre) + "-" + std::to_string(i), dataCentre);
        }
        m_remainingKills[core::DataCentreId(dataCentre)] = faults.hasKills ? 2 : 0;
    }
    m_clock.skip(faults.isColdStart ? core::Duration(6s) : core::Duration(11min));
    const core::TimePoint cut = m_clock.now() + core::Duration(below(10'000)) * 1'000'000;
    m_partition = {cut, faults.hasPartition ? cut + 4s : cut};
}

Model::~Model() = default;

std::uint64_t Model::below(std::uint64_t bound)
{
    return m_random() % bound;
}

bool Model::chance(std::uint64_t percent)
{
    return below(100) < percent;
}

core::Duration Model::delay()
{
    const bool isSlow = m_faults.hasDelay && chance(2 * FaultPercent);
    return std::chrono::microseconds(below(isSlow ? 2'000'000 : 2'000) + 1);
}

Model::Host &Model::join(const std::string &id, const std::string &dataCentre)
{
    Host &host = m_hosts.emplace_back();
    host.id = core::HostId(id);
    host.dataCentre = core::DataCentreId(dataCentre);
    host.born = m_clock.now();
    IdempotencySettings settings;
    settings.self = host.id;
    settings.dataCentre = host.dataCentre;
    settings.declared = {core::DataCentreId("east"), core::DataCentreId("west")};
    IdempotencyHooks hooks;
    hooks.call = [this, &host](core::HostId to, wire::Message message, core::Duration timeout) {
        return call(host, std::move(to), std::move(message), timeout);
    };
    hooks.liveHosts = [this, &host](const core::DataCentreId &dc) { return viewOf(host, dc, false); };
    hooks.recentHosts = [this, &host](const core::DataCentreId &dc) { return viewOf(host, dc, true); };
    hooks.dispatch = [this, &host](wire::CallRequest request) { return dispatch(host, std::move(request)); };
    hooks.now = [this] { return m_clock.now(); };
    hooks.random = [this] { return m_random(); };
    hooks.sleep = [this](core::Duration duration) { return m_clock.sleep(duration); };
    host.service = std::make_unique<IdempotencyService>(m_context.get_executor(), settings, hooks);
    return host;
}

Model::Host *Model::find(const core::HostId &id)
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const Host &host) { return host.id == id; });
    return found == m_hosts.end() ? nullptr : &*found;
}

core::Duration Model::viewDelay(const Host &observer, const Host &other, std::uint64_t salt) const
{
    if (!m_faults.hasViewDelays || &observer == &other) {
        return 0s;
    }
    const auto hash = core::stableHash(observer.id.value() + ">" + other.id.value(), m_viewSeed + salt);
    return std::chrono::milliseconds(hash % 2000);
}

bool Model::seesAsDead(const Host &observer, const Host &other) const
{
    const core::TimePoint now = m_clock.now();
    if (other.died && *other.died + Detection + viewDelay(observer, other, 1) <= now) {
        return true;
    }
    return std::any_of(other.pauses.begin(), other.pauses.end(), [&](const auto &pause) {
        return &observer != &other && pause.first + Detection + viewDelay(observer, other, 2) <= now
               && now < pause.second + viewDelay(observer, other, 3);
    });
}

bool Model::wasDeclaredDead(const Host &observer, const Host &other) const
{
    return std::any_of(other.pauses.begin(), other.pauses.end(), [&](const auto &pause) {
        return pause.second - pause.first >= Detection && pause.second + viewDelay(observer, other, 3) <= m_clock.now();
    });
}

std::vector<core::HostId> Model::viewOf(const Host &observer, const core::DataCentreId &dataCentre, bool isRecent) const
{
    const core::TimePoint now = m_clock.now();
    std::vector<core::HostId> view;
    for (const Host &other : m_hosts) {
        // A joining node learns of all other nodes before it acts; they learn of it with a delay.
        const bool isKnown = other.born <= observer.born || other.born + viewDelay(observer, other, 4) <= now;
        const auto &gone = isRecent ? other.left : other.announcedStop;
        const bool hasLeft = gone && *gone + viewDelay(observer, other, 5) <= now;
        if (other.dataCentre == dataCentre && isKnown && !hasLeft && (isRecent || !seesAsDead(observer, other))) {
            view.push_back(other.id);
            if (isRecent && wasDeclaredDead(observer, other)) {
                view.push_back(other.id);
            }
        }
    }
    return view;
}

bool Model::isPartitioned(const Host &from, const Host &to) const
{
    const core::TimePoint now = m_clock.now();
    return from.dataCentre != to.dataCentre && now >= m_partition.first && now < m_partition.second;
}

asio::awaitable<void> Model::suspendForever()
{
    const auto forever = m_clock.timer();
    while (true) {
        co_await forever->async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> Model::checkpoint(Host &host)
{
    const core::TimePoint now = m_clock.now();
    if (!host.died && m_remainingKills[host.dataCentre] > 0 && chance(FaultPercent)) {
        --m_remainingKills[host.dataCentre];
        host.died = now;
    }
    if (m_faults.hasPauses && host.pauses.empty() && chance(FaultPercent)) {
        host.pauses.emplace_back(now, now + std::chrono::milliseconds(below(6000)));
    }
    while (!host.pauses.empty() && m_clock.now() < host.pauses.back().second) {
        co_await m_clock.sleep(host.pauses.back().second - m_clock.now());
    }
    if (host.died || host.left) {
        co_await suspendForever();
    }
}

asio::awaitable<wire::Result<wire::Message>>
Model::call(Host &from, core::HostId to, wire::Message message, core::Duration timeout)
{
    co_await checkpoint(from);
    const auto reply = std::make_shared<Reply>(Reply{m_clock.timer(), std::nullopt});
    asio::co_spawn(m_context, deliver(from, to, std::move(message), reply), asio::detached);
    if (!reply->result) {
        co_await m_clock.wait(reply->timer, timeout);
    }
    co_await checkpoint(from);
    co_return reply->result.value_or(tl::unexpected(wire::Error(wire::ErrorCode::Timeout, true)));
}

asio::awaitable<void> Model::deliver(Host &from, core::HostId to, wire::Message message, std::shared_ptr<Reply> reply)
{
    Host *target = find(to);
    if (target == nullptr || target->left || target->died) {
        co_await m_clock.sleep(delay());
        reply->set(tl::unexpected(wire::Error(wire::ErrorCode::Unreachable, false)));
        co_return;
    }
    if (isPartitioned(from, *target) || (m_faults.hasLoss && chance(FaultPercent))) {
        co_return;
    }
    co_await m_clock.sleep(delay());
    co_await checkpoint(*target);
    auto answer = co_await target->service->handle(from.id, std::move(message));
    co_await checkpoint(*target);
    if (isPartitioned(from, *target) || (m_faults.hasLoss && chance(FaultPercent))) {
        co_return;
    }
    co_await m_clock.sleep(delay());
    reply->set(std::move(answer));
}

asio::awaitable<wire::CallResponse> Model::dispatch(Host &home, wire::CallRequest request)
{
    co_await checkpoint(home);
    const core::Duration remaining = request->remaining;
    const auto reply = std::make_shared<Reply>(Reply{m_clock.timer(), std::nullopt});
    asio::co_spawn(m_context, runOnEndpoint(std::move(request), reply), asio::detached);
    if (!reply->result) {
        co_await m_clock.wait(reply->timer, remaining);
    }
    co_await checkpoint(home);
    if (!reply->result) {
        co_return refusal(core::RefusalReason::DeadlineExceeded, core::Outcome::Unknown);
    }
    co_return std::get<wire::CallResponse>(**reply->result);
}

asio::awaitable<void> Model::runOnEndpoint(wire::CallRequest request, std::shared_ptr<Reply> reply)
{
    co_await m_clock.sleep(delay());
    const auto kind = m_faults.hasRefusals ? below(10) : 9;
    if (kind < 3) {
        m_refused[request->claimName] = m_clock.now();
        reply->set(wire::Message(refusal(core::RefusalReason::Draining, core::Outcome::NotRun)));
        co_return;
    }
    m_effects.push_back({request->claimName, std::stoul(request->headers.front().value)});
    wire::CallResponseFields answer;
    answer.status = 200;
    answer.body = "effect " + std::to_string(m_effects.size());
    co_await m_clock.sleep(delay() * 10);
    if (kind == 3) {
        reply->set(wire::Message(refusal(core::RefusalReason::ConnectionLost, core::Outcome::Unknown)));
        co_return;
    }
    reply->set(wire::Message(wire::CallResponse(std::move(answer))));
}

asio::awaitable<void> Model::send(std::string name, std::shared_ptr<Reply> reply, core::Duration remaining)
{
    std::vector<Host *> entries;
    for (Host &host : m_hosts) {
        if (!host.died && !host.announcedStop) {
            entries.push_back(&host);
        }
    }
    Host &entry = *entries[below(entries.size())];
    wire::CallRequestFields fields;
    fields.method = "POST";
    fields.target = "/bookings";
    fields.body = "body of " + name;
    fields.isIdempotent = false;
    fields.remaining = remaining;
    fields.claimName = name;
    // A send enters the system when its entry reads it.
    co_await checkpoint(entry);
    fields.headers = {{SendHeader, std::to_string(m_sends.size())}};
    m_sends.push_back({name, m_clock.now()});
    wire::CallRequest request(std::move(fields));
    auto response = co_await entry.service->run(std::move(request));
    co_await checkpoint(entry);
    reply->set(wire::Message(std::move(response)));
}

asio::awaitable<void> Model::caller(std::string name)
{
    co_await m_clock.sleep(std::chrono::milliseconds(below(8000)));
    for (int i = 0; i < 5; ++i) {
        const core::Duration remaining = std::chrono::milliseconds(300 + below(4000));
        std::vector<std::shared_ptr<Reply>> replies;
        const auto copies = chance(20) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            replies.push_back(std::make_shared<Reply>(Reply{m_clock.timer(), std::nullopt}));
            asio::co_spawn(m_context, send(name, replies.back(), remaining), asio::detached);
        }
        if (!replies.front()->result) {
            const core::Duration patience = chance(30) ? remaining / 4 : remaining;
            co_await m_clock.wait(replies.front()->timer, patience);
        }
        for (const auto &reply : replies) {
            if (reply->result) {
                noteReply(name, std::get<wire::CallResponse>(**reply->result));
            }
        }
        co_await m_clock.sleep(std::chrono::milliseconds(chance(70) ? 6 : below(3000)));
    }
}

void Model::noteReply(const std::string &name, const wire::CallResponse &response)
{
    if (!response->refusal) {
        m_answers[name].push_back(response->body);
    } else if (response->refusal->outcome() == core::Outcome::NotRun) {
        const bool isFromEndpoint = response->refusal->reason() == core::RefusalReason::Draining;
        m_verdicts.push_back({name, isFromEndpoint ? m_refused[name] : m_clock.now()});
    }
}

asio::awaitable<void> Model::stopGracefully(Host &host)
{
    host.announcedStop = m_clock.now();
    const bool isComplete = co_await host.service->handOver();
    if (!host.died) {
        (isComplete ? host.left : host.died) = m_clock.now();
    }
}

asio::awaitable<void> Model::changeFleet()
{
    for (int i = 0; i < 6; ++i) {
        co_await m_clock.sleep(std::chrono::milliseconds(below(4000)));
        const std::string dataCentre = chance(50) ? "east" : "west";
        if (m_faults.hasJoins && chance(50)) {
            join(dataCentre + "-new-" + std::to_string(i), dataCentre);
        }
        Host &host = m_hosts[below(m_hosts.size())];
        if (m_faults.hasStops && i % 2 == 0 && !host.died && !host.announcedStop) {
            asio::co_spawn(m_context, stopGracefully(host), asio::detached);
        }
    }
}

void Model::run()
{
    asio::co_spawn(m_context, changeFleet(), asio::detached);
    for (int i = 0; i < NameCount; ++i) {
        const std::string prefix = i % 3 == 0 ? "" : (i % 3 == 1 ? "east/" : "west/");
        const auto key = prefix + std::to_string(i) + "-" + std::to_string(m_viewSeed);
        const auto name = claimName(core::WorkspaceId("w"), core::RouteId("r"), key);
        asio::co_spawn(m_context, caller(name), asio::detached);
    }
    m_clock.runUntil(m_clock.now() + 2 * Horizon);
}

std::string Model::violation() const
{
    std::set<std::string> run;
    for (const Effect &effect : m_effects) {
        if (!run.insert(effect.name).second) {
            return effect.name + " ran twice";
        }
        for (const Verdict &verdict : m_verdicts) {
            if (verdict.name == effect.name && m_sends[effect.send].entered < verdict.made) {
                return effect.name + " ran for a send before a not-run";
            }
        }
    }
    for (const auto &[name, answers] : m_answers) {
        if (std::set<std::string>(answers.begin(), answers.end()).size() != 1) {
            return name + " got different answers";
        }
    }
    return {};
}

std::size_t Model::answeredNames() const
{
    return m_answers.size();
}

}
