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
constexpr std::uint32_t Retries = 3; ///< Retry allowance of each route.
/** Long enough that the home is replaced, which takes about 5 s after a member stops answering. */
constexpr auto PauseOfHome = 9s;
constexpr auto RunTime = "2500"; ///< Milliseconds; long enough that the fault occurs while the request runs.
constexpr std::size_t FaultedNames = 6;
constexpr std::size_t MaxSends = 8;

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
            service, {{"prefix", std::string("/") + service}, {"service", service}, {"retries", Retries}}, 3);
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

std::vector<std::string> keysAtHome(test::Fleet &fleet, std::size_t home, const std::string &stem)
{
    std::vector<std::string> keys;
    for (std::size_t n = 0; keys.size() < FaultedNames; ++n) {
        const std::string key = fleet.node(home).dataCentre + "/" + stem + "-" + std::to_string(n);
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
std::uint64_t recorded(test::Fleet &fleet, const std::string &member, const std::string &key)
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

std::string textOf(const test::CallResult &result)
{
    return std::string(core::toString(result->outcome)) + " " + std::to_string(result->status) + " " + result->reason
           + " " + result->mismatch + " " + result->body;
}

/** @brief Successive attempts of one caller with the same idempotency key, and the contradictions found. */
struct Sends
{
    std::string key;
    std::vector<std::string> answers;
    std::string falseNotRun; ///< A `not-run` answer that the record of an endpoint contradicts.
    std::string mismatch;
    bool isComplete = false;
};

/** @brief Sends a request through one node after the other until it is answered. Runs on a thread of its own. */
Sends sendUntilAnswered(test::Fleet &fleet, const std::string &key, std::size_t firstNode)
{
    Sends sends{.key = key};
    const test::Call call = booking(key, std::string("work_ms=") + RunTime, 4s);
    for (std::size_t n = 0; n < MaxSends && !sends.isComplete; ++n) {
        const test::CallResult result = fleet.call((firstNode + n) % fleet.size(), call);
        sends.answers.push_back(textOf(result));
        sends.isComplete = result.isComplete();
        // The caller has no other attempt in progress, so no endpoint may have received this key.
        if (result->outcome == core::Outcome::NotRun && result->reason != "connection"
            && recorded(fleet, "received", key) != 0) {
            sends.falseNotRun = sends.answers.back();
        }
        if (!result->mismatch.empty()) {
            sends.mismatch = result->mismatch;
        }
        if (!sends.isComplete) {
            std::this_thread::sleep_for(200ms);
        }
    }
    return sends;
}

void checkOnce(test::Fleet &fleet, const std::vector<Sends> &all)
{
    for (const Sends &sends : all) {
        std::string text = sends.key + ":";
        for (const std::string &answer : sends.answers) {
            text += "\n  " + answer;
        }
        const std::uint64_t effects = recorded(fleet, "effects", sends.key);
        CHECK_TEXT(effects <= 1, ("more than one effect of " + text).c_str());
        CHECK_TEXT(!sends.isComplete || effects == 1, ("an answer without an effect of " + text).c_str());
        STRCMP_EQUAL_TEXT("", sends.falseNotRun.c_str(), text.c_str());
        STRCMP_EQUAL_TEXT("", sends.mismatch.c_str(), text.c_str());
    }
}

/**
 * @brief Sends requests with one home and injects a fault there while they run.
 * @param strike Injects the fault; called when an endpoint runs the first request.
 */
void bookWhileHomeFails(test::Fleet &fleet,
                        std::size_t home,
                        const std::string &stem,
                        const std::function<void()> &strike)
{
    const std::vector<std::string> keys = keysAtHome(fleet, home, stem);
    std::vector<std::future<Sends>> callers;
    for (std::size_t n = 0; n < keys.size(); ++n) {
        callers.push_back(std::async(std::launch::async, [&fleet, key = keys[n], first = home + n] {
            return sendUntilAnswered(fleet, key, first);
        }));
    }
    const bool isRunning = test::waitUntil([&] {
        return std::any_of(
            keys.begin(), keys.end(), [&](const std::string &key) { return recorded(fleet, "effects", key) > 0; });
    });
    strike();
    std::vector<Sends> all;
    for (auto &caller : callers) {
        all.push_back(caller.get());
    }
    CHECK_TEXT(isRunning, "no endpoint ran a request before the fault");
    checkOnce(fleet, all);
    // A home that resumes late may still dispatch requests that it accepted before the fault.
    std::this_thread::sleep_for(3s);
    checkOnce(fleet, all);
}

void callAgainEverywhere(test::Fleet &fleet, const std::string &key)
{
    const test::Call call = booking(key, "work_ms=100", 20s);
    const std::size_t first = std::hash<std::string>{}(key) % fleet.size();
    std::vector<std::future<test::CallResult>> during;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        during.push_back(std::async(
            std::launch::async, [&fleet, &call, node = (first + i) % fleet.size()] { return fleet.call(node, call); }));
    }
    std::vector<test::CallResult> results;
    for (auto &result : during) {
        results.push_back(result.get());
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        results.push_back(fleet.call(i, call));
    }
    for (const test::CallResult &result : results) {
        CHECK_TEXT(result.isComplete(), (key + ": " + textOf(result)).c_str());
        STRCMP_EQUAL(results.front()->body.c_str(), result->body.c_str());
    }
    LONGS_EQUAL(1, recorded(fleet, "effects", key));
}

/** @brief Sends unrelated calls on a thread until it is stopped or destroyed. */
class Bystanders
{
public:
    explicit Bystanders(test::Fleet &fleet)
        : m_thread([this, &fleet] { run(fleet); })
    {
    }
    ~Bystanders()
    {
        stop();
    }
    Bystanders(const Bystanders &) = delete;
    Bystanders &operator=(const Bystanders &) = delete;

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
            notServed = isServed ? notServed : textOf(last);
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
                callAgainEverywhere(fleet, (n % 2 == 0 ? "dc-a/again-" : "dc-b/again-") + std::to_string(n));
                callAgainEverywhere(fleet, "no-prefix-" + std::to_string(n));
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
                CHECK_TEXT(isReached, textOf(result).c_str());
                return result;
            };
            CHECK(sendUntil("POST", "dc-a/limited", "").isComplete());
            LONGS_EQUAL(1, recorded(fleet, "effects", "dc-a/limited"));
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
                    std::this_thread::sleep_for(PauseOfHome);
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
        Bystanders bystanders(fleet);
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
                CHECK_TEXT(result->outcome == core::Outcome::Unknown || recorded(fleet, "received", "dc-b/crash") == 0,
                           textOf(result).c_str());
            }
            CHECK(crashes(fleet) - before <= 1);
            CHECK(recorded(fleet, "effects", "dc-b/crash") <= 1);
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
            bystanders.stop();
            STRCMP_EQUAL("", bystanders.notServed.c_str());
            CHECK(bystanders.served > 0);
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
            CHECK_TEXT(!result.isComplete(), textOf(result).c_str());
            return recorded(fleet, "runs", leafPath);
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
                        CHECK_TEXT(runs <= 1 + Retries, (path + " ran " + std::to_string(runs)).c_str());
                        CHECK_TEXT(runs >= 1, (path + " did not run").c_str());
                    }
                });
            }
        }
    });
}
