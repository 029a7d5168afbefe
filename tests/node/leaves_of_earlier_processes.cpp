#include "node/leave_exchange.h"
#include "node/leave_record.h"
#include "node/memory_log.h"
#include "support/section.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using node::EndpointLeaves;
using node::detail::LeaveExchange;
using node::detail::LeaveExchangeHooks;
using node::detail::LeaveRestoreProgress;
using test::checkProperty;
using test::MemoryLog;
using test::section;

namespace {

namespace asio = boost::asio;

/** @brief One process of a host, with the state that ends with it. */
struct Process
{
    bool isAlive = true;
    std::uint64_t incarnation = 0;
    EndpointLeaves leaves;
    bool areHeartbeatsAllowed = false;
    std::unique_ptr<LeaveExchange> exchange;
};

/** @brief Hosts that share a log and keep each other's leaves. */
class Hosts
{
public:
    Process &start(const std::string &host, bool isFirstStart = false)
    {
        Process &process = *m_processes.emplace_back(std::make_unique<Process>());
        process.incarnation = m_processes.size();
        process.exchange = std::make_unique<LeaveExchange>(m_context.get_executor(),
                                                           node::detail::ProcessStart{core::HostId(host), isFirstStart},
                                                           hooksOf(host, process));
        m_running[host] = &process;
        process.exchange->tick(now); // The first one may come before run().
        process.exchange->run();
        poll();
        return process;
    }
    void kill(const std::string &host)
    {
        m_running.at(host)->isAlive = false;
        m_running.erase(host);
    }
    /** @return Whether the leave is stored outside the process. */
    bool leave(Process &process, const std::string &id, std::uint64_t incarnation = 1)
    {
        process.leaves = process.leaves.with({id, incarnation});
        bool isStored = false;
        bool hasEnded = false;
        asio::co_spawn(m_context, process.exchange->store(), [&](const std::exception_ptr &, bool result) {
            isStored = result;
            hasEnded = true;
        });
        m_context.restart();
        while (!hasEnded) {
            m_context.run_one();
        }
        return isStored;
    }
    void advance(core::Duration duration)
    {
        now += duration;
        for (const auto &[host, process] : m_running) {
            process->exchange->tick(now);
        }
        poll();
    }
    void poll()
    {
        m_context.restart();
        m_context.poll();
    }
    [[nodiscard]] Process *find(const std::string &host) const
    {
        const auto found = m_running.find(host);
        return found == m_running.end() ? nullptr : found->second;
    }
    [[nodiscard]] std::size_t runningCount() const
    {
        return m_running.size();
    }
    /** @return Whether a copy of the leave can be reached outside the processes of the host. */
    [[nodiscard]] bool isKept(const std::string &host, const std::string &id) const
    {
        EndpointLeaves kept;
        for (const std::string &text : log.records) {
            const auto record = node::detail::parseLeaveRecord(text);
            if (!log.isUnreadable && record && (*record)->host.value() == host) {
                kept = (*record)->leaves;
            }
        }
        for (const auto &[other, process] : m_running) {
            kept = kept.with(EndpointLeaves(process->exchange->answer(core::HostId(host))->leaves));
        }
        return kept.cover(id, 1);
    }

    MemoryLog log;
    std::uint64_t logGeneration = 0;
    core::TimePoint now{1000h};

private:
    LeaveExchangeHooks hooksOf(const std::string &host, Process &process)
    {
        LeaveExchangeHooks hooks;
        hooks.log = log.hooks();
        hooks.call = [this, host, &process](core::HostId to,
                                            wire::Message message,
                                            core::Duration) -> asio::awaitable<wire::Result<wire::Message>> {
            Process *peer = find(to.value());
            if (!process.isAlive || peer == nullptr) {
                co_return tl::unexpected(wire::Error(wire::ErrorCode::Unreachable, false));
            }
            if (const auto *notice = std::get_if<wire::EndpointLeaveNotice>(&message)) {
                peer->exchange->keep(core::HostId(host), *notice);
                co_return wire::Message(wire::Ack());
            }
            co_return wire::Message(peer->exchange->answer(core::HostId(host)));
        };
        hooks.leaves = [&process] { return process.leaves; };
        hooks.restored = [&process](const EndpointLeaves &earlier) { process.leaves = earlier.with(process.leaves); };
        hooks.heartbeatsAllowed = [&process] { process.areHeartbeatsAllowed = true; };
        hooks.holders = [this, host] {
            std::vector<admission::NoticeReceiver> peers;
            for (const auto &[other, running] : m_running) {
                if (other != host) {
                    peers.push_back({core::HostId(other), running->incarnation});
                }
            }
            return peers;
        };
        hooks.witnesses = hooks.holders;
        hooks.knowsPeers = [] { return true; };
        hooks.logGeneration = [this] { return logGeneration; };
        hooks.now = [this] { return now; };
        hooks.isStopping = [&process] { return !process.isAlive; };
        return hooks;
    }

    asio::io_context m_context;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::map<std::string, Process *> m_running;
};

}

TEST_GROUP(LeavesOfEarlierProcesses)
{
    Hosts hosts;
};

// Guards against a leave that was acknowledged and that the next process of the host does not know.
TEST(LeavesOfEarlierProcesses, areKnownBeforeAHeartbeatCounts)
{
    Process &first = hosts.start("h1", true);
    Process &other = hosts.start("h2", true);
    section("the log is up, and all processes end at once", [&] {
        CHECK(hosts.leave(first, "i-1"));
        CHECK(hosts.leave(other, "i-9"));
        hosts.kill("h1");
        hosts.kill("h2");
        const Process &next = hosts.start("h1");
        CHECK(next.areHeartbeatsAllowed);
        CHECK(next.leaves == EndpointLeaves({{"i-1", 1}}));
    });
    section("the log is down, and another host keeps the leave", [&] {
        CHECK(hosts.start("h2").areHeartbeatsAllowed);
        hosts.log.isDown = true;
        CHECK(hosts.leave(*hosts.find("h1"), "i-2"));
        hosts.kill("h1");
        const Process &next = hosts.start("h1");
        CHECK(next.areHeartbeatsAllowed);
        CHECK(next.leaves == EndpointLeaves({{"i-1", 1}, {"i-2", 1}}));
    });
    section("the log is appended what it lacks as soon as it is up", [&] {
        hosts.log.isDown = false;
        hosts.advance(5s);
        hosts.kill("h1");
        hosts.kill("h2");
        CHECK(hosts.start("h1").leaves == EndpointLeaves({{"i-1", 1}, {"i-2", 1}}));
    });
    section("neither the log nor another host takes the leave", [&] {
        hosts.log.isDown = true;
        CHECK_FALSE(hosts.leave(*hosts.find("h1"), "i-3"));
    });
}

// Guards against a node that serves an endpoint before it can know that it has left, or never serves it.
TEST(LeavesOfEarlierProcesses, areWaitedForOnlyWhereSomebodyMayKnowThem)
{
    hosts.log.isUnreadable = true;
    section("a host that has just started too does not know", [&] {
        CHECK_FALSE(hosts.start("h1").areHeartbeatsAllowed);
        CHECK_FALSE(hosts.start("h2").areHeartbeatsAllowed);
    });
    section("while the log cannot be read, a host that has been running since does", [&] {
        hosts.start("h3", true);
        CHECK(hosts.start("h4").areHeartbeatsAllowed);
    });
    section("the wait has an end", [&] {
        hosts.advance(10s);
        CHECK(hosts.find("h1")->areHeartbeatsAllowed);
    });
}

// Guards against a slow log that keeps the endpoints of a restarted node out of service.
TEST(LeavesOfEarlierProcesses, areTakenFromPeersIfTheLogIsSlow)
{
    const LeaveRestoreProgress waiting({.startedAt = hosts.now, .arePeersAsked = true, .hasPeerAnswered = true});
    CHECK_FALSE(isRestored(waiting, hosts.now + 500ms));
    CHECK(isRestored(waiting, hosts.now + 1s));
}

// Guards against a record that replaces that of an earlier process, and one that a restored log has lost.
TEST(LeavesOfEarlierProcesses, stayInTheLog)
{
    CHECK(hosts.leave(hosts.start("h1", true), "i-1"));
    section("a process that has not read the log appends nothing", [&] {
        hosts.kill("h1");
        hosts.log.isUnreadable = true;
        hosts.start("h2", true);
        CHECK(hosts.leave(hosts.start("h1"), "i-2"));
        LONGS_EQUAL(1, hosts.log.records.size());
    });
    section("a log that was restored from a copy gets the record again", [&] {
        hosts.log.isUnreadable = false;
        hosts.kill("h1");
        Process &next = hosts.start("h1");
        hosts.advance(5s);
        hosts.log.records.clear();
        ++hosts.logGeneration;
        hosts.advance(5s);
        CHECK(hosts.isKept("h1", "i-1"));
        CHECK(next.leaves.cover("i-1", 1) && next.leaves.cover("i-2", 1));
    });
    section("odd records beside it are ignored", [&] {
        for (const char *text : {"", "{", R"({"host":"h1","leaves":7})", R"({"host":"h1","leaves":[{"id":""}]})"}) {
            hosts.log.records.emplace_back(text);
        }
        hosts.kill("h1");
        hosts.kill("h2");
        CHECK(hosts.start("h1").leaves.cover("i-2", 1));
    });
}

// Guards against a schedule of kills and outages after which a process does not know a leave of which a copy exists.
TEST(LeavesOfEarlierProcesses, surviveAnyScheduleOfKillsAndOutages)
{
    checkProperty("a process that applies heartbeats knows each leave of which it can reach a copy", [] {
        Hosts fleet;
        const std::vector<std::string> names{"h1", "h2", "h3"};
        for (const std::string &name : names) {
            fleet.start(name, true);
        }
        for (int step = 0; step < 25; ++step) {
            const std::string name = names[*rc::gen::inRange<std::size_t>(0, names.size())];
            Process *process = fleet.find(name);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                fleet.log.isDown = fleet.log.isUnreadable = *rc::gen::arbitrary<bool>();
                break;
            case 1:
                fleet.advance(3s);
                break;
            case 2:
                // Without the log and another host, the leave would wait for its timeout.
                if (process != nullptr && (!fleet.log.isDown || fleet.runningCount() > 1)) {
                    const std::string id = "i-" + std::to_string(step);
                    RC_ASSERT(!fleet.leave(*process, id) || fleet.isKept(name, id));
                }
                break;
            default:
                if (process != nullptr) {
                    fleet.kill(name);
                    break;
                }
                std::vector<std::string> kept;
                for (int earlier = 0; earlier < step; ++earlier) {
                    if (fleet.isKept(name, "i-" + std::to_string(earlier))) {
                        kept.push_back("i-" + std::to_string(earlier));
                    }
                }
                const Process &next = fleet.start(name);
                for (const std::string &id : kept) {
                    RC_ASSERT(!next.areHeartbeatsAllowed || next.leaves.cover(id, 1));
                }
            }
        }
    });
}
