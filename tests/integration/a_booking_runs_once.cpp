#include "berylspring/idempotency/claim_name.h"
#include "berylspring/idempotency/home_order.h"
#include "berylspring/idempotency/home_selection.h"
#include "integration/harness/fleet.h"
#include "support/section.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

constexpr const char *Key = "key-tenant";
constexpr std::uint32_t RetryAllowance = 3; ///< Of each route.
/** Long enough that the home is replaced, which takes about 5 s after a member stops answering. */
constexpr auto HomePause = 9s;
constexpr auto WorkTimeMs = "2500"; ///< Long enough that the fault occurs while the request runs.
constexpr std::size_t KeysPerFault = 6;
constexpr std::size_t MaxAttempts = 8;

test::FleetConfig fleetConfig()
{
    return test::FleetConfig({.dataCentres = {"dc-a", "dc-b"},
                              .endpoints = {{.service = "front", .slots = 32}, {.service = "deep", .slots = 32}}});
}

void declare(test::Fleet &fleet)
{
    fleet.addWorkspace("tenant", 2000, 500);
    for (const char *service : {"front", "deep"}) {
        fleet.addRoute(
            service, {{"prefix", std::string("/") + service}, {"service", service}, {"retries", RetryAllowance}}, 3);
    }
    fleet.waitUntilServing({"/front", "/deep"}, Key);
}

/** @return The host of the node that runs POST /front with the idempotency key while all nodes are live. */
std::string homeOf(test::Fleet &fleet, const std::string &key)
{
    const std::string name = idempotency::claimName(core::WorkspaceId("tenant"), core::RouteId("front"), key);
    const idempotency::HomeSelection selection({core::DataCentreId("dc-a"), core::DataCentreId("dc-b")});
    std::vector<core::HostId> live;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (core::DataCentreId(fleet.node(i).dataCentre) == selection.dataCentreOf(name)) {
            live.emplace_back(fleet.node(i).host);
        }
    }
    return idempotency::HomeOrder(name, live, live, 600s).home().value();
}

std::vector<std::string> keysAtHome(test::Fleet &fleet, std::size_t home, const std::string &keyPrefix)
{
    std::vector<std::string> keys;
    for (std::size_t n = 0; keys.size() < KeysPerFault; ++n) {
        const std::string key = fleet.node(home).dataCentre + "/" + keyPrefix + "-" + std::to_string(n);
        if (homeOf(fleet, key) == fleet.node(home).host) {
            keys.push_back(key);
        }
    }
    return keys;
}

test::Call booking(const std::string &key, const std::string &query, core::Duration timeout)
{
    return test::Call({.method = "POST",
                       .target = "/front/book?" + query,
                       .body = "seat of " + key,
                       .key = Key,
                       .idempotencyKey = key,
                       .timeout = timeout});
}

/** @return The count of a key in one member of the records, summed over all endpoints; they outlive their daemons. */
std::uint64_t recordedCount(test::Fleet &fleet, const std::string &member, const std::string &key)
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const boost::json::object record = fleet.record(i);
        const boost::json::value *count = record.at(member).as_object().if_contains(key);
        sum += count == nullptr ? 0 : count->to_number<std::uint64_t>();
    }
    return sum;
}

std::uint64_t crashes(test::Fleet &fleet)
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        sum += fleet.record(i).at("crashes").to_number<std::uint64_t>();
    }
    return sum;
}

std::string describe(const test::CallResult &result)
{
    return std::string(core::toString(result->outcome)) + " " + std::to_string(result->status) + " " + result->reason
           + " " + result->mismatch + " " + result->body;
}

/** @brief Successive attempts of one caller with the same idempotency key, and the contradictions found. */
struct Attempts
{
    std::string key;
    std::vector<std::string> answers;
    std::string falseNotRun; ///< A `not-run` answer that the record of an endpoint contradicts.
    std::string mismatch;
    bool isComplete = false;
};

/** @brief Sends a request through one node after the other until it is answered. Runs on a thread of its own. */
Attempts sendUntilAnswered(test::Fleet &fleet, const std::string &key, std::size_t firstNode)
{
    Attempts attempts{.key = key};
    const test::Call call = booking(key, std::string("work_ms=") + WorkTimeMs, 4s);
    for (std::size_t n = 0; n < MaxAttempts && !attempts.isComplete; ++n) {
        const test::CallResult result = fleet.call((firstNode + n) % fleet.size(), call);
        attempts.answers.push_back(describe(result));
        attempts.isComplete = result.isComplete();
        // The caller has no other attempt in progress, so no endpoint may have received this key.
        if (result->outcome == core::Outcome::NotRun && result->reason != "connection"
            && recordedCount(fleet, "received", key) != 0) {
            attempts.falseNotRun = attempts.answers.back();
        }
        if (!result->mismatch.empty()) {
            attempts.mismatch = result->mismatch;
        }
        if (!attempts.isComplete) {
            std::this_thread::sleep_for(200ms);
        }
    }
    return attempts;
}

void checkAtMostOnce(test::Fleet &fleet, const std::vector<Attempts> &all)
{
    for (const Attempts &attempts : all) {
        std::string text = attempts.key + ":";
        for (const std::string &answer : attempts.answers) {
            text += "\n  " + answer;
        }
        const std::uint64_t effects = recordedCount(fleet, "effects", attempts.key);
        CHECK_TEXT(effects <= 1, ("more than one effect of " + text).c_str());
        CHECK_TEXT(!attempts.isComplete || effects == 1, ("an answer without an effect of " + text).c_str());
        STRCMP_EQUAL_TEXT("", attempts.falseNotRun.c_str(), text.c_str());
        STRCMP_EQUAL_TEXT("", attempts.mismatch.c_str(), text.c_str());
    }
}

/**
 * @brief Sends requests with one home and injects a fault there while they run.
 * @param injectFault Injects the fault; called when an endpoint runs the first request.
 */
void bookWhileHomeFails(test::Fleet &fleet,
                        std::size_t home,
                        const std::string &keyPrefix,
                        const std::function<void()> &injectFault)
{
    const std::vector<std::string> keys = keysAtHome(fleet, home, keyPrefix);
    std::vector<std::future<Attempts>> callers;
    for (std::size_t n = 0; n < keys.size(); ++n) {
        callers.push_back(std::async(std::launch::async, [&fleet, key = keys[n], first = home + n] {
            return sendUntilAnswered(fleet, key, first);
        }));
    }
    const bool isRunning = test::waitUntil([&] {
        return std::any_of(
            keys.begin(), keys.end(), [&](const std::string &key) { return recordedCount(fleet, "effects", key) > 0; });
    });
    injectFault();
    std::vector<Attempts> all;
    for (auto &caller : callers) {
        all.push_back(caller.get());
    }
    CHECK_TEXT(isRunning, "no endpoint ran a request before the fault");
    checkAtMostOnce(fleet, all);
    // A home that resumes late may still dispatch requests that it accepted before the fault.
    std::this_thread::sleep_for(3s);
    checkAtMostOnce(fleet, all);
}

void sendThroughAllNodes(test::Fleet &fleet, const std::string &key)
{
    const test::Call call = booking(key, "work_ms=100", 20s);
    const std::size_t first = std::hash<std::string>{}(key) % fleet.size();
    std::vector<std::future<test::CallResult>> concurrentCalls;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        concurrentCalls.push_back(std::async(
            std::launch::async, [&fleet, &call, node = (first + i) % fleet.size()] { return fleet.call(node, call); }));
    }
    std::vector<test::CallResult> results;
    for (auto &result : concurrentCalls) {
        results.push_back(result.get());
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        results.push_back(fleet.call(i, call));
    }
    for (const test::CallResult &result : results) {
        CHECK_TEXT(result.isComplete(), (key + ": " + describe(result)).c_str());
        STRCMP_EQUAL(results.front()->body.c_str(), result->body.c_str());
    }
    LONGS_EQUAL(1, recordedCount(fleet, "effects", key));
}

/** @brief Sends unrelated calls on a thread until it is stopped or destroyed. */
class BackgroundCalls
{
public:
    explicit BackgroundCalls(test::Fleet &fleet)
        : m_thread([this, &fleet] { run(fleet); })
    {
    }
    ~BackgroundCalls()
    {
        stop();
    }
    BackgroundCalls(const BackgroundCalls &) = delete;
    BackgroundCalls &operator=(const BackgroundCalls &) = delete;

    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    std::uint64_t served = 0; ///< Read this and the next member only after stop().
    std::string notServed;

private:
    void run(test::Fleet &fleet)
    {
        for (std::size_t n = 0; !m_isStopping; ++n) {
            const test::Call call({.target = "/front/other?n=" + std::to_string(n), .key = Key, .timeout = 10s});
            test::CallResult last;
            const bool isServed = test::waitUntil([&] {
                last = fleet.call(n % fleet.size(), call);
                return last.isComplete();
            });
            served += isServed ? 1 : 0;
            notServed = isServed ? notServed : describe(last);
        }
    }

    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

}

TEST_GROUP(ABookingRunsOnce){};

// Guards against a second effect, or a different answer, when a caller resends before the first answer.
TEST(ABookingRunsOnce, howeverOftenItIsSent)
{
    section("a fleet of two data centres", [] {
        test::Fleet fleet(fleetConfig());
        declare(fleet);
        section("a request is sent through all nodes while it runs and afterwards", [&] {
            for (int n = 0; n < 30; ++n) {
                sendThroughAllNodes(fleet, (n % 2 == 0 ? "dc-a/again-" : "dc-b/again-") + std::to_string(n));
                sendThroughAllNodes(fleet, "no-prefix-" + std::to_string(n));
            }
        });
        section("a resend over the limit of its workspace is not reported as not-run", [&] {
            fleet.addWorkspace("small", 1, 3);
            const auto sendUntil = [&](const std::string &method, const std::string &key, const std::string &reason) {
                test::CallResult result;
                const test::Call call({.method = method,
                                       .target = "/front/limited",
                                       .key = "key-small",
                                       .idempotencyKey = key,
                                       .timeout = 10s});
                const bool isReached = test::waitUntil([&] {
                    result = fleet.call(0, call);
                    return result->reason == reason && (!reason.empty() || result.isComplete());
                });
                CHECK_TEXT(isReached, describe(result).c_str());
                return result;
            };
            CHECK(sendUntil("POST", "dc-a/limited", "").isComplete());
            LONGS_EQUAL(1, recordedCount(fleet, "effects", "dc-a/limited"));
            CHECK(sendUntil("POST", "dc-a/limited", "limit-exceeded")->outcome == core::Outcome::Unknown);
            CHECK(sendUntil("GET", "", "limit-exceeded")->outcome == core::Outcome::NotRun);
        });
    });
}

// Guards against a second effect and a false `not-run` when the node that keeps the claim dies while the request runs.
TEST(ABookingRunsOnce, whenItsHomeIsKilled)
{
    section("a fleet of two data centres", [] {
        test::Fleet fleet(fleetConfig());
        declare(fleet);
        for (const std::size_t home : {std::size_t{2}, std::size_t{1}}) {
            section("the home " + fleet.node(home).host + " is killed while it runs requests",
                    [&] { bookWhileHomeFails(fleet, home, "killed", [&] { fleet.node(home).daemon->kill(); }); });
            section("the home serves again after its restart", [&] {
                LONGS_EQUAL(SIGKILL, fleet.node(home).daemon->wait().signal);
                fleet.restartDaemon(home);
                fleet.waitUntilServing({"/front", "/deep"}, Key);
            });
        }
    });
}

// Guards against a home that resumes after a pause and runs requests that its replacement has already answered.
TEST(ABookingRunsOnce, whenItsHomeIsPaused)
{
    section("a fleet of two data centres", [] {
        test::Fleet fleet(fleetConfig());
        declare(fleet);
        for (const std::size_t home : {std::size_t{3}, std::size_t{0}}) {
            section("the home " + fleet.node(home).host + " is paused until it has been replaced", [&] {
                bookWhileHomeFails(fleet, home, "paused", [&] {
                    fleet.node(home).daemon->pause();
                    std::this_thread::sleep_for(HomePause);
                    fleet.node(home).daemon->resume();
                });
            });
            section("the home serves again", [&] { fleet.waitUntilServing({"/front", "/deep"}, Key); });
        }
    });
}

// Guards against a request that crashes one endpoint after the other because it is retried.
TEST(ABookingRunsOnce, whenItCrashesItsEndpoint)
{
    section("a fleet of two data centres", [] {
        test::Fleet fleet(fleetConfig());
        declare(fleet);
        constexpr std::uint64_t MaxCrashes = 2;
        constexpr std::size_t Resends = 12;
        BackgroundCalls backgroundCalls(fleet);
        section("an idempotent request that crashes is retried a bounded number of times", [&] {
            for (std::size_t n = 0; n < Resends; ++n) {
                const test::Call call({.target = "/front/g?crash=1", .key = Key, .timeout = 5s});
                const test::CallResult result = fleet.call(n % fleet.size(), call);
                CHECK(!result.isComplete());
            }
            const std::uint64_t count = crashes(fleet);
            CHECK_TEXT(count >= 1 && count <= MaxCrashes, ("crashes: " + std::to_string(count)).c_str());
        });
        section("a crashing request with an idempotency key has at most one effect", [&] {
            const std::uint64_t before = crashes(fleet);
            for (std::size_t n = 0; n < Resends; ++n) {
                const test::CallResult result = fleet.call(n % fleet.size(), booking("dc-b/crash", "crash=1&n=1", 5s));
                CHECK(!result.isComplete());
                CHECK_TEXT(result->outcome == core::Outcome::Unknown
                               || recordedCount(fleet, "received", "dc-b/crash") == 0,
                           describe(result).c_str());
            }
            CHECK(crashes(fleet) - before <= 1);
            CHECK(recordedCount(fleet, "effects", "dc-b/crash") <= 1);
        });
        section("the same request under new idempotency keys crashes a bounded number of endpoints", [&] {
            const std::uint64_t before = crashes(fleet);
            for (std::size_t n = 0; n < Resends; ++n) {
                const test::Call call({.method = "POST",
                                       .target = "/front/p?crash=1&n=2",
                                       .body = "same",
                                       .key = Key,
                                       .idempotencyKey = "crash-" + std::to_string(n)});
                CHECK(!fleet.call(n % fleet.size(), call).isComplete());
            }
            const std::uint64_t count = crashes(fleet) - before;
            CHECK_TEXT(count <= MaxCrashes, ("crashes: " + std::to_string(count)).c_str());
        });
        section("calls of other callers were answered", [&] {
            backgroundCalls.stop();
            STRCMP_EQUAL("", backgroundCalls.notServed.c_str());
            CHECK(backgroundCalls.served > 0);
        });
    });
}

// Guards against retries that multiply from hop to hop.
TEST(ABookingRunsOnce, whenItsChainIsDeep)
{
    section("a fleet of two data centres", [] {
        test::Fleet fleet(fleetConfig());
        declare(fleet);
        const auto runsOfLeaf = [&](const std::string &chain, const std::string &leafPath, const std::string &leaf) {
            const test::Call call(
                {.target = "/front/top?root=" + leafPath + "&nested=" + chain + leafPath + "&leaf=" + leaf,
                 .key = Key,
                 .timeout = 20s});
            const test::CallResult result = fleet.call(leafPath.size() % fleet.size(), call);
            CHECK_TEXT(!result.isComplete(), describe(result).c_str());
            return recordedCount(fleet, "runs", leafPath);
        };
        int number = 0;
        for (const std::string chain : {"/front/b;/front/c;", "/front/b;/front/c;/front/d;"}) {
            for (const std::string leaf : {"fail:503", "fail:500", "crash:1"}) {
                section(std::string("the last of ").append(chain).append(" answers ").append(leaf), [&] {
                    for (int root = 0; root < 5; ++root) {
                        // Endpoints that crashed in the previous round restart; each root needs a running one.
                        fleet.waitUntilServing({"/front", "/deep"}, Key);
                        const std::string path = "/deep/leaf-" + std::to_string(number++);
                        const std::uint64_t runs = runsOfLeaf(chain, path, leaf);
                        CHECK_TEXT(runs <= 1 + RetryAllowance, (path + " ran " + std::to_string(runs)).c_str());
                        CHECK_TEXT(runs >= 1, (path + " did not run").c_str());
                    }
                });
            }
        }
    });
}
