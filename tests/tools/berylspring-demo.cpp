#include "integration/harness/fleet.h"
#include "integration/harness/paced_load.h"

#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <stdexcept>

#include <boost/json.hpp>

using namespace berylspring;
using namespace std::chrono_literals;

namespace {

constexpr auto CallTimeout = std::chrono::seconds(20);
constexpr double SmallRate = 20;
constexpr double SmallBurst = 20;
constexpr std::size_t MinCalls = 1000;

/** @brief Prints the result of each check and counts failures; any failure makes the demo fail at its end. */
class Checks
{
public:
    void expect(bool condition, const std::string &text)
    {
        std::cout << (condition ? "  ok    " : "  WRONG ") << text << '\n';
        m_failures += condition ? 0 : 1;
    }
    [[nodiscard]] int failures() const noexcept
    {
        return m_failures;
    }

private:
    int m_failures = 0;
};

test::LoadClass loadClass(test::Fleet &fleet,
                          const std::string &name,
                          double rate,
                          core::Duration duration,
                          std::function<test::Call(std::uint64_t)> makeCall)
{
    return {.name = name,
            .ratePerSecond = rate,
            .duration = duration,
            .makeCall = std::move(makeCall),
            .chooseClient = [&fleet](std::uint64_t n) -> http::Client & {
                return fleet.calls().client(fleet.node(n % fleet.size()).callerPort);
            }};
}

test::Call get(const std::string &target, const std::string &key)
{
    return test::Call({.target = target, .key = key, .timeout = CallTimeout});
}

test::Call booking(std::uint64_t number)
{
    return test::Call({.method = "POST",
                       .target = "/front/bookings",
                       .body = "booking " + std::to_string(number),
                       .key = "key-abay",
                       .idempotencyKey = "b-" + std::to_string(number),
                       .timeout = CallTimeout});
}

std::vector<test::LoadClass> loadClasses(test::Fleet &fleet)
{
    const auto plain = [](std::uint64_t n) {
        return get("/front/visits/" + std::to_string(n) + "?size=2000", "key-abay");
    };
    const auto nested = [](std::uint64_t n) {
        return get("/front/day/" + std::to_string(n) + "?nested=/deep/list", "key-abay");
    };
    const auto sentTwice = [](std::uint64_t n) { return booking(n / 2); };
    const auto open = [](std::uint64_t n) { return get("/open/prices/" + std::to_string(n), {}); };
    const auto wrongKey = [](std::uint64_t) { return get("/front/visits/1", "wrong-key"); };
    const auto overLimit = [](std::uint64_t) { return get("/front/visits/1", "key-small"); };
    return {loadClass(fleet, "plain", 150, 3s, plain),
            loadClass(fleet, "nested", 50, 3s, nested),
            loadClass(fleet, "bookings, each sent twice", 60, 3s, sentTwice),
            loadClass(fleet, "open route, no key", 40, 3s, open),
            loadClass(fleet, "wrong key", 20, 3s, wrongKey),
            loadClass(fleet, "five times the limit", 5 * SmallRate, 3s, overLimit)};
}

void printSummary(const std::vector<test::LoadReport> &reports)
{
    std::cout << "\nclass                       calls  answered  not-run  unknown  wrong body   p50 ms   p99 ms\n";
    for (const test::LoadReport &report : reports) {
        const auto milliseconds = [&](double quantile) {
            return std::chrono::duration<double, std::milli>(report.latency(quantile)).count();
        };
        std::cout << std::left << std::setw(26) << report.name() << std::right << std::setw(7)
                  << report.samples().size() << std::setw(10) << report.complete() << std::setw(9)
                  << report.count(core::Outcome::NotRun) << std::setw(9) << report.count(core::Outcome::Unknown)
                  << std::setw(12) << report.mismatches() << std::fixed << std::setprecision(2) << std::setw(9)
                  << milliseconds(0.5) << std::setw(9) << milliseconds(0.99) << '\n';
    }
    std::cout << '\n';
}

void checkReports(Checks &checks, const std::vector<test::LoadReport> &reports)
{
    std::size_t calls = 0;
    std::uint64_t mismatches = 0;
    for (const test::LoadReport &report : reports) {
        calls += report.samples().size();
        mismatches += report.mismatches();
    }
    checks.expect(calls >= MinCalls, std::to_string(calls) + " calls were sent");
    checks.expect(mismatches == 0, "every body has the digest of its own request");
    for (std::size_t i = 0; i < 4; ++i) {
        checks.expect(reports[i].complete() == reports[i].samples().size(), "all answered: " + reports[i].name());
    }
    checks.expect(reports[4].count(core::Outcome::NotRun) == reports[4].samples().size(),
                  "no call with a wrong key ran");
    const test::LoadReport &limited = reports[5];
    checks.expect(limited.count(core::Outcome::Unknown) == 0,
                  "each call over the limit is answered or refused as not run");
    checks.expect(limited.count(core::Outcome::NotRun) > 0, "calls over the limit are refused");
}

void checkEffects(Checks &checks, test::Fleet &fleet)
{
    std::size_t repeated = 0;
    const auto effects = fleet.totals("effects");
    for (const auto &effect : effects) {
        repeated += effect.second == 1 ? 0U : 1U;
    }
    checks.expect(!effects.empty() && repeated == 0, std::to_string(effects.size()) + " bookings ran once each");
    bool hasKey = false;
    for (const auto &header : fleet.totals("headers")) {
        hasKey = hasKey || header.first.find("key-abay") != std::string::npos;
    }
    checks.expect(!hasKey, "no endpoint has seen a key");
}

/** @brief Applies a resource with berylspringctl and checks that it comes into force on all nodes. */
void checkConfigurationChange(Checks &checks, test::Fleet &fleet)
{
    const test::TemporaryDirectory directory;
    const std::string token = directory.file("token");
    const std::string resources = directory.file("resources.json");
    std::ofstream(token) << test::Fleet::operatorToken();
    std::ofstream(resources) << R"({"type": "workspaces", "name": "newcomer", "weight": 2})";
    test::Process tool("berylspringctl",
                       {std::string(BERYLSPRING_BINARY_DIR) + "/berylspringctl",
                        "apply",
                        "--file",
                        resources,
                        "--wait",
                        "30",
                        "--token-file",
                        token,
                        "--address",
                        "127.0.0.1:" + std::to_string(fleet.node(0).operatorPort)},
                       directory.file("output"));
    const test::ProcessEnd end = tool.wait(40s);
    std::cout << "berylspringctl apply --wait 30\n" << tool.output() << '\n';
    checks.expect(end.exitStatus == 0 && tool.output().find("in-force") != std::string::npos,
                  "a change is in force everywhere");
}

void checkShutdown(Checks &checks, test::Fleet &fleet)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.node(i).daemon->terminate();
    }
    bool isClean = true;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        isClean = fleet.node(i).daemon->wait(60s).exitStatus == 0 && isClean;
    }
    checks.expect(isClean, "all nodes stopped as planned");
}

int runDemo()
{
    std::cout << "starting a log, three data centres with two nodes each, and their endpoints\n";
    test::Fleet fleet(test::FleetConfig({.dataCentres = {"addis-1", "addis-2", "bahir-dar"},
                                         .endpoints = {{.service = "front"}, {.service = "deep"}}}));
    fleet.addWorkspace("abay", 10'000, 1000);
    fleet.addWorkspace("small", SmallRate, SmallBurst);
    fleet.addRoute("front", {{"prefix", "/front"}, {"service", "front"}, {"timeout_ms", 20'000}}, 5);
    fleet.addRoute("deep", {{"prefix", "/deep"}, {"service", "deep"}, {"timeout_ms", 20'000}}, 3);
    fleet.addRoute("open", {{"prefix", "/open"}, {"service", "front"}, {"is_open", true}, {"timeout_ms", 20'000}}, 1);
    fleet.waitUntilServing({"/front", "/deep", "/open"}, "key-abay");
    Checks checks;
    checkConfigurationChange(checks, fleet);
    const auto reports = test::runLoad(fleet.calls(), loadClasses(fleet));
    printSummary(reports);
    checkReports(checks, reports);
    checkEffects(checks, fleet);
    checkShutdown(checks, fleet);
    std::cout << (checks.failures() == 0 ? "demo passed\n" : "demo FAILED\n");
    return checks.failures() == 0 ? 0 : 1;
}

}

int main()
{
    try {
        return runDemo();
    } catch (const std::exception &error) {
        std::cerr << "demo FAILED: " << error.what() << '\n';
        return 1;
    }
}
