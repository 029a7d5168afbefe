#pragma once

#include "berylspring/membership/swim_protocol.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace berylspring::test {

/** @brief A death that one member declared of another. */
struct DeclaredDeath
{
    core::HostId observer;
    core::HostId subject;
    core::Duration at; ///< Simulated time.
};

/** @brief Members in one process with simulated time, on a network with loss, delay and partitions. */
class SimulatedNetwork
{
public:
    /** @brief Port of all members; their address is the host name. */
    static constexpr std::uint16_t Port = 7000;

    explicit SimulatedNetwork(std::uint64_t seed);

    /** @brief Starts a process of the host; a second one of the same host replaces a stopped one. */
    void start(const std::string &host, const std::string &dataCentre, const std::vector<std::string> &seeds);
    /** @brief Starts count hosts "h0"..., spread over the data centres in turn, with the first host of each as seeds.
     */
    void startMany(int count, const std::vector<std::string> &dataCentres);
    void kill(const std::string &host);
    /** @brief Pauses the process; its datagrams and ticks are deferred until resume(). */
    void pause(const std::string &host);
    void resume(const std::string &host);
    /** @brief The process runs for one tick interval at a time, with random gaps of up to this length in between. */
    void setMaxStall(const std::string &host, core::Duration maxStall);

    void setLoss(int percent);
    /** @brief Drops datagrams between hosts for which the function holds. */
    void partition(std::function<bool(const std::string &from, const std::string &to)> isPartitioned);
    void heal();

    void run(core::Duration duration);
    [[nodiscard]] core::Duration time() const;

    [[nodiscard]] membership::SwimProtocol &protocolOf(const std::string &host);
    /** @brief Carries out actions that result from calls other than tick() and receive(). */
    void perform(const std::string &host, const membership::Actions &actions);
    [[nodiscard]] core::TimePoint now() const;

    [[nodiscard]] std::set<std::string> runningHosts() const;
    /** @return Hosts that the member sees alive or suspect. */
    [[nodiscard]] std::set<std::string> view(const std::string &host);
    /** @return Whether each running member sees exactly the running ones, all of them alive. */
    [[nodiscard]] bool isConverged();
    /** @return Differences from isConverged(), for messages. */
    [[nodiscard]] std::string differences();
    [[nodiscard]] const std::vector<DeclaredDeath> &deaths() const;
    /** @return Estimated bytes of the datagrams that were sent to another data centre. */
    [[nodiscard]] std::uint64_t remoteBytes() const;
    /** @return Datagrams over the size limit that were sent. */
    [[nodiscard]] std::size_t oversizedCount() const;

private:
    struct Node
    {
        std::string dataCentre;
        std::unique_ptr<membership::SwimProtocol> protocol;
        std::uint64_t process = 0; ///< Distinguishes processes of one host.
        bool isRunning = true;
        bool isPaused = false;
        core::Duration maxStall{0};
        core::Duration stalledUntil{0};
        std::vector<std::function<void()>> deferred;
    };
    struct Event
    {
        core::Duration at;
        std::uint64_t order;
        std::string host;
        std::uint64_t process;
        std::function<void()> action;
        [[nodiscard]] bool operator>(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule(core::Duration at, const std::string &host, std::uint64_t process, std::function<void()> action);
    void runAction(Event event);
    void tick(const std::string &host);
    void send(const std::string &from, const membership::Outgoing &outgoing);
    void receive(const std::string &host, const std::string &from, const wire::Datagram &datagram);

    std::mt19937_64 m_random;
    core::Duration m_time{0};
    std::uint64_t m_order = 0;
    std::uint64_t m_process = 0;
    int m_lossPercent = 0;
    std::function<bool(const std::string &, const std::string &)> m_isPartitioned;
    std::map<std::string, Node> m_nodes;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<DeclaredDeath> m_deaths;
    std::size_t m_oversizedCount = 0;
    std::uint64_t m_remoteBytes = 0;
};

}
