#include "membership/simulated_network.h"
#include "support/section.h"

#include <chrono>
#include <iostream>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;
using test::SimulatedNetwork;

namespace {

/** Age at which a node may own buckets and claims; by then it must know the others that may. */
constexpr core::Duration JoinDelay = 350ms;
constexpr core::Duration Step = 50ms;
/** Time in which the processes of a fleet that was killed are started again. */
constexpr core::Duration StartSpread = 500ms;

/** @brief Hosts that were all killed and are started again, each with the addresses that all had announced before. */
class RestartedFleet
{
public:
    RestartedFleet(int count, int dataCentres, std::uint64_t seed)
        : m_network(seed)
        , m_random(seed)
    {
        for (int i = 0; i < count; ++i) {
            m_hosts.push_back({"h" + std::to_string(i), "dc-" + std::to_string(i % dataCentres)});
            m_startTimes.push_back(core::Duration(m_random() % std::uint64_t(StartSpread.count())));
        }
    }

    /** @return Pairs of one data centre that both may own a bucket while one does not know the other. */
    int unawarePairs()
    {
        int pairs = 0;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (!mayOwn(i)) {
                continue;
            }
            const std::set<std::string> view = m_network.view(m_hosts[i].name);
            for (std::size_t other = 0; other < m_hosts.size(); ++other) {
                const bool isSame = m_hosts[other].dataCentre == m_hosts[i].dataCentre;
                pairs += isSame && mayOwn(other) && !view.contains(m_hosts[other].name) ? 1 : 0;
            }
        }
        return pairs;
    }

    void run(core::Duration duration)
    {
        const core::Duration end = m_network.time() + duration;
        while (m_network.time() < end) {
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                if (m_startTimes[i] >= m_network.time() && m_startTimes[i] < m_network.time() + Step) {
                    start(m_hosts[i]);
                }
            }
            m_network.run(Step);
        }
    }

    /** @return Bytes that a host has sent to other data centres, on average. */
    std::uint64_t remoteBytesPerHost()
    {
        return m_network.remoteBytes() / m_hosts.size();
    }

    std::string differences()
    {
        return m_network.differences();
    }

    void setLoss(int percent)
    {
        m_network.setLoss(percent);
    }

private:
    struct Host
    {
        std::string name;
        std::string dataCentre;
    };

    [[nodiscard]] bool mayOwn(std::size_t index) const
    {
        return m_network.time() - m_startTimes[index] >= JoinDelay;
    }

    void start(const Host &host)
    {
        m_network.start(host.name, host.dataCentre, {});
        for (const Host &other : m_hosts) {
            wire::MemberUpdateFields contact;
            contact.host = core::HostId(other.name);
            contact.dataCentre = core::DataCentreId(other.dataCentre);
            contact.address = other.name;
            contact.port = SimulatedNetwork::Port;
            m_network.protocolOf(host.name).addContact(wire::MemberUpdate(contact), m_network.now());
        }
    }

    SimulatedNetwork m_network;
    std::mt19937_64 m_random;
    std::vector<Host> m_hosts;
    std::vector<core::Duration> m_startTimes;
};

int mostUnawarePairs(RestartedFleet &fleet)
{
    int most = 0;
    for (core::Duration time = 0s; time < 4s; time += Step) {
        fleet.run(Step);
        most = std::max(most, fleet.unawarePairs());
    }
    return most;
}

}

TEST_GROUP(AFleetThatStartsAtOnce){};

// Guards against two owners of one bucket after a kill of the whole fleet: a limit would be granted more than once.
TEST(AFleetThatStartsAtOnce, knowsItsDataCentreBeforeAnyNodeOwnsABucket)
{
    for (const auto &[count, dataCentres] : {std::pair(13, 3), std::pair(96, 5), std::pair(300, 9)}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            section(std::to_string(count) + " nodes, seed " + std::to_string(seed),
                    [&, &count = count, &zones = dataCentres] {
                        RestartedFleet fleet(count, zones, seed);
                        LONGS_EQUAL(0, mostUnawarePairs(fleet));
                    });
        }
    }
    section("96 nodes and 2% loss", [] {
        RestartedFleet fleet(96, 5, 1);
        fleet.setLoss(2);
        LONGS_EQUAL(0, mostUnawarePairs(fleet));
    });
}

// Guards against a start of the fleet that spends more on the membership than the requests of a minute.
TEST(AFleetThatStartsAtOnce, sendsFewBytesToOtherDataCentres)
{
    // 4 KB a second is what a node may spend on control.
    constexpr std::uint64_t BytesPerSecond = 4096;
    for (const auto &[count, dataCentres] : {std::pair(30, 5), std::pair(96, 5)}) {
        section(std::to_string(count) + " nodes", [&, &count = count, &zones = dataCentres] {
            RestartedFleet fleet(count, zones, 1);
            fleet.run(15s);
            STRCMP_EQUAL("", fleet.differences().c_str());
            std::cout << count << " nodes: " << fleet.remoteBytesPerHost() << " bytes a node in 15 s\n";
            CHECK(fleet.remoteBytesPerHost() < 15 * BytesPerSecond);
        });
    }
}
