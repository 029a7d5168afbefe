#include "integration/harness/fleet.h"
#include "support/section.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

/** Longest time from the withdrawal of a key to its last accepted use. */
constexpr auto WithdrawalTarget = 2s;
constexpr auto WithdrawalTargetWithLog = 1s; ///< While the platform log answers.
/** Time for which callers go on after a withdrawal, to detect a key that is accepted again. */
constexpr auto ObservationTime = 4s;

struct KeyUse
{
    core::TimePoint sentAt;
    core::TimePoint answeredAt;
    bool isAccepted = false;
    std::string reason;
};

/** Gives each node a call every few milliseconds, which is the resolution of the measured time. */
constexpr std::size_t CallersPerNode = 3;
constexpr auto CallInterval = 5ms;

/** @brief Callers that send calls with one key to every node continuously, over persistent connections. */
class Callers
{
public:
    Callers(test::Fleet &fleet, const std::string &key)
        : m_uses(fleet.size() * CallersPerNode)
        , m_hasAccepted(m_uses.size())
    {
        const test::Call call({.target = "/front/use", .key = key, .timeout = 20s});
        for (std::size_t i = 0; i < m_uses.size(); ++i) {
            m_threads.emplace_back([this, &fleet, i, call] {
                while (!m_isStopping) {
                    m_uses[i].push_back(useOnce(fleet, i % fleet.size(), call));
                    m_hasAccepted[i] = m_hasAccepted[i] || m_uses[i].back().isAccepted;
                    ++m_count;
                    std::this_thread::sleep_for(CallInterval);
                }
            });
        }
    }
    ~Callers()
    {
        stop();
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void stop()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }
    [[nodiscard]] std::uint64_t count() const
    {
        return m_count;
    }
    /** @return Whether each caller has had an accepted use. */
    [[nodiscard]] bool haveAllBeenAccepted() const
    {
        return std::all_of(m_hasAccepted.begin(), m_hasAccepted.end(), [](bool hasAccepted) { return hasAccepted; });
    }
    /** @return The uses of each caller; caller i calls node i % number of nodes. Only valid after stop(). */
    [[nodiscard]] const std::vector<std::vector<KeyUse>> &uses() const
    {
        return m_uses;
    }

private:
    static KeyUse useOnce(test::Fleet &fleet, std::size_t node, const test::Call &call)
    {
        KeyUse use{.sentAt = std::chrono::steady_clock::now()};
        const test::CallResult result = fleet.call(node, call);
        use.answeredAt = std::chrono::steady_clock::now();
        use.isAccepted = result.isComplete();
        use.reason = result->reason;
        return use;
    }

    std::vector<std::vector<KeyUse>> m_uses;
    std::vector<std::atomic<bool>> m_hasAccepted; ///< By caller.
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::uint64_t> m_count{0};
};

struct Withdrawal
{
    core::TimePoint sentAt;
    unsigned status = 0;
    std::string state;
};

Withdrawal withdraw(test::Fleet &fleet, std::size_t node, const std::string &name)
{
    Withdrawal withdrawal{.sentAt = std::chrono::steady_clock::now()};
    const auto response = fleet.operators().send(fleet.node(node).operatorPort, "DELETE", "/v1/keys/" + name);
    CHECK(response.has_value());
    withdrawal.status = (*response)->status;
    if (withdrawal.status == 200) {
        withdrawal.state = boost::json::parse((*response)->body).at("state").as_string().c_str();
    }
    return withdrawal;
}

/** @return The time from the withdrawal to the last accepted use by one caller, or zero without a later one. */
core::Duration lastAcceptedUse(const std::vector<KeyUse> &uses, const Withdrawal &withdrawal)
{
    core::Duration last{};
    bool isRefused = false;
    std::size_t acceptedBefore = 0;
    for (const KeyUse &use : uses) {
        if (use.isAccepted) {
            CHECK_TEXT(!isRefused, "the key was accepted again after a refusal");
            acceptedBefore += use.answeredAt < withdrawal.sentAt ? 1 : 0;
            last = std::max(last, core::Duration(use.sentAt - withdrawal.sentAt));
        } else if (use.sentAt > withdrawal.sentAt) {
            STRCMP_EQUAL("key-invalid", use.reason.c_str());
            isRefused = true;
        }
    }
    CHECK(acceptedBefore > 0);
    CHECK(isRefused);
    return last;
}

void checkUses(const Callers &callers, const Withdrawal &withdrawal, core::Duration target, const std::string &name)
{
    core::Duration last{};
    for (const std::vector<KeyUse> &uses : callers.uses()) {
        last = std::max(last, lastAcceptedUse(uses, withdrawal));
    }
    std::cout << name << ": last accepted use sent " << std::chrono::duration<double, std::milli>(last).count()
              << " ms after the withdrawal\n";
    CHECK(last < target);
}

/** @brief Withdraws a key at one node while callers use it at all nodes. */
Withdrawal withdrawInUse(test::Fleet &fleet, std::size_t node, const std::string &name, core::Duration target)
{
    Callers callers(fleet, "key-" + name);
    // On a busy machine, one caller may not have had an answer yet when the others have had all of these.
    CHECK(test::waitUntil([&] { return callers.count() >= 20 * fleet.size() && callers.haveAllBeenAccepted(); }));
    Withdrawal withdrawal = withdraw(fleet, node, name);
    std::this_thread::sleep_until(withdrawal.sentAt + ObservationTime);
    callers.stop();
    checkUses(callers, withdrawal, target, name);
    return withdrawal;
}

}

TEST_GROUP(AKeyIsWithdrawn){};

// Guards against a key that is still accepted after its withdrawal, and against key text that leaves the entry node.
TEST(AKeyIsWithdrawn, whileItIsInUseEverywhere)
{
    section("two data centres and callers with keys at every node", [] {
        test::Fleet fleet(test::FleetConfig(
            {.dataCentres = {"dc-a", "dc-b"}, .endpoints = {{.service = "front"}, {.service = "front"}}}));
        const std::vector<std::string> names{"withdrawn-up", "withdrawn-slow", "withdrawn-down"};
        for (const std::string &name : names) {
            fleet.addWorkspace(name, 2000, 500);
        }
        fleet.addRoute("front", {{"prefix", "/front"}, {"service", "front"}}, 3);
        for (const std::string &name : names) {
            fleet.waitUntilServing({"/front"}, "key-" + name);
        }
        section("the last use is within 1 s of the withdrawal while the log answers", [&] {
            const Withdrawal withdrawal = withdrawInUse(fleet, 0, names[0], WithdrawalTargetWithLog);
            LONGS_EQUAL(200, withdrawal.status);
            STRCMP_EQUAL("recorded", withdrawal.state.c_str());
        });
        section("the last use is within 2 s of the withdrawal while the log is slow", [&] {
            fleet.controlLog({{"stall_ms", 3000}});
            const Withdrawal withdrawal = withdrawInUse(fleet, 3, names[1], WithdrawalTarget);
            LONGS_EQUAL(200, withdrawal.status);
            fleet.controlLog({{"stall_ms", 0}});
        });
        section("the last use is within 2 s of the withdrawal while the log refuses", [&] {
            fleet.controlLog({{"refuse", true}});
            const Withdrawal withdrawal = withdrawInUse(fleet, 1, names[2], WithdrawalTarget);
            LONGS_EQUAL(200, withdrawal.status);
            STRCMP_EQUAL("announced", withdrawal.state.c_str());
            fleet.controlLog({{"refuse", false}});
        });
        section("every withdrawal is recorded once the log answers again", [&] {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                for (const std::string &name : names) {
                    CHECK(test::waitUntil([&] {
                        const auto response =
                            fleet.operators().send(fleet.node(i).operatorPort, "GET", "/v1/keys/" + name);
                        return response && (*response)->status == 404;
                    }));
                }
            }
        });
        section("no withdrawn key is accepted at any node afterwards", [&] {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                for (const std::string &name : names) {
                    const test::CallResult result =
                        fleet.call(i, test::Call({.target = "/front", .key = "key-" + name}));
                    STRCMP_EQUAL("key-invalid", result->reason.c_str());
                }
            }
        });
        section("no endpoint has received the text of a key", [&] {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                const boost::json::object record = fleet.record(i);
                CHECK_FALSE(record.at("headers_full").as_bool());
                CHECK_FALSE(record.at("headers").as_object().empty());
                CHECK(boost::json::serialize(record).find("key-withdrawn") == std::string::npos);
            }
        });
        section("no daemon has logged or exported the text of a key", [&] {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                const std::string output = fleet.node(i).daemon->output();
                CHECK_FALSE(output.empty());
                CHECK(output.find("key-withdrawn") == std::string::npos);
                CHECK(fleet.metrics(i).find("key-withdrawn") == std::string::npos);
            }
        });
    });
}
