#include "membership/simulated_network.h"

#include "berylspring/membership/datagram_size.h"
#include "berylspring/membership/timing.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace berylspring::test {

using namespace std::chrono_literals;
using membership::TickInterval;

namespace {

constexpr core::Duration MinDelay = 500us;
constexpr core::Duration DelayRange = 2ms;
/** Far from the epoch of the clock, so that times before the start stay valid. */
constexpr core::Duration SimulationStart = 1000h;

}

SimulatedNetwork::SimulatedNetwork(std::uint64_t seed)
    : m_random(seed)
{
}

void SimulatedNetwork::start(const std::string &host,
                             const std::string &dataCentre,
                             const std::vector<std::string> &seeds)
{
    membership::MembershipSettings settings;
    settings.host = core::HostId(host);
    settings.dataCentre = core::DataCentreId(dataCentre);
    settings.address = host; // Datagrams are delivered by host name.
    settings.port = Port;
    for (const auto &seed : seeds) {
        settings.seeds.push_back({seed, Port});
    }
    Node node;
    node.dataCentre = dataCentre;
    node.protocol = std::make_unique<membership::SwimProtocol>(settings, [this] { return m_random(); });
    node.process = ++m_process;
    m_nodes.insert_or_assign(host, std::move(node));
    const core::Duration offset(static_cast<core::Duration::rep>(m_random() % std::uint64_t(TickInterval.count())));
    schedule(m_time + offset, host, m_process, [this, host] { tick(host); });
}

void SimulatedNetwork::startMany(int count, const std::vector<std::string> &dataCentres)
{
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < dataCentres.size(); ++i) {
        seeds.push_back("h" + std::to_string(i));
    }
    for (int i = 0; i < count; ++i) {
        start("h" + std::to_string(i), dataCentres[std::size_t(i) % dataCentres.size()], seeds);
    }
}

void SimulatedNetwork::kill(const std::string &host)
{
    m_nodes.at(host).isRunning = false;
}

void SimulatedNetwork::pause(const std::string &host)
{
    m_nodes.at(host).isPaused = true;
}

void SimulatedNetwork::resume(const std::string &host)
{
    auto &node = m_nodes.at(host);
    node.isPaused = false;
    // After a pause the threads of a process may handle the timer and the socket in any order.
    auto deferred = std::exchange(node.deferred, {});
    std::shuffle(deferred.begin(), deferred.end(), m_random);
    for (auto &action : deferred) {
        schedule(m_time, host, node.process, std::move(action));
    }
}

void SimulatedNetwork::setMaxStall(const std::string &host, core::Duration maxStall)
{
    m_nodes.at(host).maxStall = maxStall;
}

void SimulatedNetwork::setLoss(int percent)
{
    m_lossPercent = percent;
}

void SimulatedNetwork::partition(std::function<bool(const std::string &, const std::string &)> isPartitioned)
{
    m_isPartitioned = std::move(isPartitioned);
}

void SimulatedNetwork::heal()
{
    m_isPartitioned = nullptr;
}

void SimulatedNetwork::run(core::Duration duration)
{
    const auto end = m_time + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        auto event = m_events.top();
        m_events.pop();
        m_time = std::max(m_time, event.at);
        runAction(std::move(event));
    }
    m_time = end;
}

void SimulatedNetwork::runAction(Event event)
{
    auto &node = m_nodes.at(event.host);
    if (!node.isRunning || node.process != event.process) {
        return;
    }
    if (node.isPaused) {
        node.deferred.push_back(std::move(event.action));
        return;
    }
    if (node.maxStall > 0ns) {
        if (m_time < node.stalledUntil) {
            schedule(node.stalledUntil, event.host, event.process, std::move(event.action));
            return;
        }
        // After running for one tick interval, a busy process is descheduled again.
        if (m_time >= node.stalledUntil + TickInterval) {
            const auto gap = m_random() % std::uint64_t(node.maxStall.count());
            node.stalledUntil = m_time + core::Duration(core::Duration::rep(gap));
        }
    }
    event.action();
}

core::Duration SimulatedNetwork::time() const
{
    return m_time;
}

core::TimePoint SimulatedNetwork::now() const
{
    return core::TimePoint(SimulationStart + m_time);
}

membership::SwimProtocol &SimulatedNetwork::protocolOf(const std::string &host)
{
    return *m_nodes.at(host).protocol;
}

void SimulatedNetwork::schedule(core::Duration at,
                                const std::string &host,
                                std::uint64_t process,
                                std::function<void()> action)
{
    m_events.push({at, ++m_order, host, process, std::move(action)});
}

void SimulatedNetwork::tick(const std::string &host)
{
    schedule(m_time + TickInterval, host, m_nodes.at(host).process, [this, host] { tick(host); });
    perform(host, protocolOf(host).tick(now()));
}

void SimulatedNetwork::perform(const std::string &host, const membership::Actions &actions)
{
    for (const auto &member : actions.changed) {
        if (member.state() == wire::MemberState::Dead) {
            m_deaths.push_back({core::HostId(host), member.host(), m_time});
        }
    }
    for (const auto &outgoing : actions.datagrams) {
        send(host, outgoing);
    }
}

void SimulatedNetwork::send(const std::string &from, const membership::Outgoing &outgoing)
{
    if (membership::estimatedBytes(outgoing.datagram) > membership::MaxDatagramBytes) {
        ++m_oversizedCount;
    }
    const auto &to = outgoing.to.address;
    const auto node = m_nodes.find(to);
    if (node != m_nodes.end() && node->second.dataCentre != m_nodes.at(from).dataCentre) {
        m_remoteBytes += membership::estimatedBytes(outgoing.datagram);
    }
    const bool isLost = int(m_random() % 100) < m_lossPercent;
    if (node == m_nodes.end() || isLost || (m_isPartitioned && m_isPartitioned(from, to))) {
        return;
    }
    const auto delay = MinDelay + core::Duration(core::Duration::rep(m_random() % std::uint64_t(DelayRange.count())));
    schedule(m_time + delay, to, node->second.process, [this, to, from, datagram = outgoing.datagram] {
        receive(to, from, datagram);
    });
}

void SimulatedNetwork::receive(const std::string &host, const std::string &from, const wire::Datagram &datagram)
{
    perform(host, protocolOf(host).receive(core::HostId(from), datagram, now()));
}

std::uint64_t SimulatedNetwork::remoteBytes() const
{
    return m_remoteBytes;
}

std::set<std::string> SimulatedNetwork::runningHosts() const
{
    std::set<std::string> hosts;
    for (const auto &[host, node] : m_nodes) {
        if (node.isRunning) {
            hosts.insert(host);
        }
    }
    return hosts;
}

std::set<std::string> SimulatedNetwork::view(const std::string &host)
{
    std::set<std::string> hosts;
    const auto snapshot = protocolOf(host).snapshot(now());
    for (const auto &member : snapshot->liveMembers()) {
        hosts.insert(member.host().value());
    }
    return hosts;
}

bool SimulatedNetwork::isConverged()
{
    return differences().empty();
}

std::string SimulatedNetwork::differences()
{
    std::ostringstream text;
    const auto running = runningHosts();
    for (const auto &host : running) {
        const auto seen = view(host);
        for (const auto &other : running) {
            const auto member = protocolOf(host).find(core::HostId(other), now());
            if (!member || member->state() != wire::MemberState::Alive) {
                text << host << " does not see " << other << " alive; ";
            }
        }
        for (const auto &other : seen) {
            if (!running.contains(other)) {
                text << host << " still sees " << other << "; ";
            }
        }
    }
    return text.str();
}

const std::vector<DeclaredDeath> &SimulatedNetwork::deaths() const
{
    return m_deaths;
}

std::size_t SimulatedNetwork::oversizedCount() const
{
    return m_oversizedCount;
}

}
