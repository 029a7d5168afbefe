#include "integration/harness/platform_fleet.h"
#include "support/section.h"

#include <chrono>
#include <csignal>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;

namespace {

constexpr int Rounds = 10;
constexpr int DaemonsPerRound = 8;
/** Time in which a daemon has registered its signals. */
constexpr std::chrono::milliseconds AfterStart(100);
/** A port on which nothing listens. */
constexpr std::uint16_t ClosedPort = 1;

/** @brief Keeps all processor cores busy, so that the threads of a starting daemon are interrupted at any point. */
class ProcessorLoad
{
public:
    ProcessorLoad()
    {
        for (unsigned thread = 0; thread < std::thread::hardware_concurrency(); ++thread) {
            m_threads.emplace_back([](const std::stop_token &token) {
                volatile std::uint64_t counter = 0;
                while (!token.stop_requested()) {
                    counter = counter + 1;
                }
            });
        }
    }

private:
    std::vector<std::jthread> m_threads;
};

/** @brief Starts daemons without store and peers, and lets each one be told to stop. */
void startAndStop(const std::function<void(const test::PlatformNode &)> &signal)
{
    const test::TemporaryDirectory directory;
    for (int round = 0; round < Rounds; ++round) {
        std::list<test::PlatformNode> daemons;
        for (int number = 0; number < DaemonsPerRound; ++number) {
            const std::string host = "h" + std::to_string(round) + "-" + std::to_string(number);
            daemons.emplace_back(host, "a", "visits", ClosedPort, directory);
            signal(daemons.back());
        }
        for (test::PlatformNode &daemon : daemons) {
            LONGS_EQUAL(0, daemon.process.wait().exitStatus);
        }
    }
}

}

TEST_GROUP(ADaemonThatIsStopped){};

// Guards against a daemon that never receives its signals because two threads of its start raced to register them.
TEST(ADaemonThatIsStopped, endsHoweverItIsTold)
{
    const ProcessorLoad load;
    section("by SIGTERM once it has started", [] {
        startAndStop([](const test::PlatformNode &daemon) {
            std::this_thread::sleep_for(AfterStart);
            daemon.process.terminate();
        });
    });
    section("by SIGTERM as soon as its ports are open",
            [] { startAndStop([](const test::PlatformNode &daemon) { daemon.process.terminate(); }); });
    section("by SIGTERM twice in a row", [] {
        startAndStop([](const test::PlatformNode &daemon) {
            daemon.process.terminate();
            daemon.process.terminate();
        });
    });
    section("by SIGTERM right after SIGHUP", [] {
        startAndStop([](const test::PlatformNode &daemon) {
            ::kill(daemon.process.id(), SIGHUP);
            daemon.process.terminate();
        });
    });
}
