#include "berylspring/http/line_stream.h"
#include "integration/harness/fleet.h"
#include "integration/harness/paced_load.h"
#include "support/section.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <future>
#include <iostream>
#include <mutex>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace json = boost::json;

namespace {

http::Response responseOf(const http::Result<http::Response> &response)
{
    CHECK_TEXT(response.has_value(), "no response of an operator port");
    return *response;
}

http::Response read(test::Fleet &fleet, std::size_t node, const std::string &target)
{
    return responseOf(fleet.operators().send(fleet.node(node).operatorPort, "GET", target));
}

std::string etagOf(const http::Response &response)
{
    return std::string(http::headerValue(response->headers, "ETag"));
}

core::Offset changeOf(const http::Response &response)
{
    return json::parse(response->body).at("change").to_number<core::Offset>();
}

std::string priority(double worth)
{
    return json::serialize(json::object{{"level", 5}, {"worth", worth}});
}

std::string stateSeenBy(test::Fleet &fleet, std::size_t observer, const std::string &host)
{
    const json::value nodes = json::parse(read(fleet, observer, "/v1/nodes")->body);
    for (const json::value &item : nodes.at("items").as_array()) {
        if (item.at("host").as_string() == host) {
            return item.at("state").as_string().c_str();
        }
    }
    return "unknown";
}

/** @brief Samples the applied offset that each node reports for itself, and records every decrease. */
class OffsetSampler
{
public:
    explicit OffsetSampler(test::Fleet &fleet)
        : m_fleet(fleet)
        , m_processes(fleet.size())
    {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            startSampling(i);
            m_threads.emplace_back([this, i] { sample(i); });
        }
    }
    ~OffsetSampler()
    {
        stop();
    }
    OffsetSampler(const OffsetSampler &) = delete;
    OffsetSampler &operator=(const OffsetSampler &) = delete;

    /** @brief Samples the process that now runs at a node; a new process starts without configuration. */
    void startSampling(std::size_t node)
    {
        const std::scoped_lock lock(m_mutex);
        m_processes[node] = {.port = m_fleet.node(node).operatorPort, .host = m_fleet.node(node).host};
    }
    void stopSampling(std::size_t node)
    {
        const std::scoped_lock lock(m_mutex);
        m_processes[node] = {};
    }
    void stop()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }
    [[nodiscard]] const std::vector<std::string> &decreases() const
    {
        return m_decreases;
    }
    [[nodiscard]] std::uint64_t samples() const
    {
        return m_samples;
    }

private:
    struct SampledProcess
    {
        std::uint16_t port = 0;
        std::string host;
        core::Offset applied = 0;
    };

    void sample(std::size_t node)
    {
        while (!m_isStopping) {
            sampleOnce(node);
            std::this_thread::sleep_for(50ms);
        }
    }

    void sampleOnce(std::size_t node)
    {
        const SampledProcess process = [&] {
            const std::scoped_lock lock(m_mutex);
            return m_processes[node];
        }();
        if (process.port == 0) {
            return;
        }
        const http::Request request({.method = "GET",
                                     .target = "/v1/nodes",
                                     .headers = {{"Authorization", "Bearer " + m_fleet.operators().token()}}});
        const auto response = m_fleet.calls().send(process.port, request, 2s);
        if (!response || (*response)->status != 200) {
            return; // The process was killed or is paused.
        }
        const json::value nodes = json::parse((*response)->body);
        for (const json::value &item : nodes.at("items").as_array()) {
            if (item.at("host").as_string() == process.host) {
                record(node, process.port, item.at("applied_offset").to_number<core::Offset>());
            }
        }
    }

    void record(std::size_t node, std::uint16_t port, core::Offset applied)
    {
        const std::scoped_lock lock(m_mutex);
        SampledProcess &process = m_processes[node];
        if (process.port != port) {
            return;
        }
        ++m_samples;
        if (applied < process.applied) {
            m_decreases.push_back(process.host + " from " + std::to_string(process.applied) + " to "
                                  + std::to_string(applied));
        }
        process.applied = applied;
    }

    test::Fleet &m_fleet;
    std::mutex m_mutex;
    std::vector<SampledProcess> m_processes;
    std::vector<std::string> m_decreases;
    std::atomic<std::uint64_t> m_samples{0};
    std::atomic<bool> m_isStopping{false};
    std::vector<std::thread> m_threads;
};

/** @brief Reads the event stream GET /v1/watch of a node until the stream or the object ends. */
class Watch
{
public:
    Watch(test::Fleet &fleet, std::size_t node, core::Offset from)
    {
        const http::Request request({.method = "GET",
                                     .target = "/v1/watch?from=" + std::to_string(from),
                                     .headers = {{"Authorization", "Bearer " + fleet.operators().token()}}});
        const std::string address = "127.0.0.1:" + std::to_string(fleet.node(node).operatorPort);
        m_thread = std::thread([this, address, request] {
            const http::LineReader onLine = [this](std::string_view line) {
                const std::scoped_lock lock(m_mutex);
                m_events.push_back(json::parse(line).as_object());
                return true;
            };
            const auto onEnd = [this](const std::exception_ptr &failure, const http::Result<unsigned> &result) {
                const std::scoped_lock lock(m_mutex);
                m_end = failure ? "exception" : result ? "status " + std::to_string(*result) : result.error().detail();
            };
            boost::asio::co_spawn(m_context, http::readLines(address, request, onLine), onEnd);
            m_context.run();
        });
    }
    ~Watch()
    {
        m_context.stop();
        m_thread.join();
    }
    Watch(const Watch &) = delete;
    Watch &operator=(const Watch &) = delete;

    [[nodiscard]] std::vector<json::object> events(std::string_view event)
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<json::object> found;
        std::copy_if(m_events.begin(), m_events.end(), std::back_inserter(found), [&](const json::object &candidate) {
            return std::string_view(candidate.at("event").as_string()) == event;
        });
        return found;
    }
    /** @return All events and the state of the stream, for failure messages. */
    [[nodiscard]] std::string text()
    {
        const std::scoped_lock lock(m_mutex);
        std::string text = m_end.empty() ? "open\n" : "ended: " + m_end + "\n";
        for (const json::object &event : m_events) {
            text += json::serialize(event) + "\n";
        }
        return text;
    }
    [[nodiscard]] std::optional<json::object> inForce(core::Offset change)
    {
        for (const json::object &event : events("in-force")) {
            if (event.at("change").to_number<core::Offset>() == change) {
                return event;
            }
        }
        return std::nullopt;
    }

private:
    boost::asio::io_context m_context;
    std::mutex m_mutex;
    std::vector<json::object> m_events;
    std::string m_end; ///< Why the stream ended; empty while it is open.
    std::thread m_thread;
};

/** @brief Writes a resource at all nodes at once with the same If-Match. @return The number of the accepted change. */
core::Offset writeConcurrently(test::Fleet &fleet, core::Offset version, int round)
{
    std::vector<std::future<http::Response>> writes;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        writes.push_back(std::async(std::launch::async, [&fleet, i, version, round] {
            const auto worth = static_cast<double>(round * 10 + static_cast<int>(i) + 1);
            const auto response = fleet.operators().send(fleet.node(i).operatorPort,
                                                         "PUT",
                                                         "/v1/priorities/contested",
                                                         priority(worth),
                                                         "\"" + std::to_string(version) + "\"");
            return response ? *response : http::Response({.status = 0, .body = response.error().detail()});
        }));
    }
    std::optional<std::size_t> winner;
    core::Offset change = 0;
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const http::Response response = writes[i].get();
        if (response->status == 200) {
            CHECK_TEXT(!winner, "more than one conditional write was accepted");
            winner = i;
            change = changeOf(response);
        } else {
            LONGS_EQUAL_TEXT(412, response->status, response->body.c_str());
        }
    }
    CHECK_TEXT(winner.has_value(), "no conditional write was accepted");
    const double worth = round * 10 + static_cast<int>(*winner) + 1;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const std::string expected = "\"" + std::to_string(change) + "\"";
        CHECK(test::waitUntil([&] { return etagOf(read(fleet, i, "/v1/priorities/contested")) == expected; }));
        const json::value body = json::parse(read(fleet, i, "/v1/priorities/contested")->body);
        DOUBLES_EQUAL(worth, body.at("worth").to_number<double>(), 0);
    }
    return change;
}

void checkServed(test::Fleet &fleet)
{
    const test::LoadClass load{
        .name = "steady",
        .ratePerSecond = 100,
        .duration = 1s,
        .makeCall = [](std::uint64_t) { return test::Call({.target = "/front", .key = "key-tenant", .timeout = 20s}); },
        .chooseClient = [&](std::uint64_t number) -> http::Client & {
            return fleet.calls().client(fleet.node(number % fleet.size()).callerPort);
        }};
    const test::LoadReport report = test::runLoad(fleet.calls(), {load}).front();
    for (const auto &[failure, count] : report.failures()) {
        std::cout << count << " " << failure << "\n";
    }
    LONGS_EQUAL(100, report.complete());
}

void checkAllAgree(test::Fleet &fleet)
{
    for (const std::string type : {"workspaces", "keys", "limits", "priorities", "routes"}) {
        const std::string expected = read(fleet, 0, "/v1/" + type)->body;
        for (std::size_t i = 1; i < fleet.size(); ++i) {
            STRCMP_EQUAL(expected.c_str(), read(fleet, i, "/v1/" + type)->body.c_str());
        }
    }
}

}

TEST_GROUP(AChangeIsInForceEverywhere){};

// Guards against lost and duplicated changes, nodes that disagree, and a change reported as in force too early.
TEST(AChangeIsInForceEverywhere, throughRacesOutagesAndPauses)
{
    section("two data centres with two nodes each", [] {
        test::Fleet fleet(test::FleetConfig(
            {.dataCentres = {"dc-a", "dc-b"}, .endpoints = {{.service = "front"}, {.service = "front"}}}));
        fleet.addWorkspace("tenant", 2000, 500);
        fleet.addRoute("front", {{"prefix", "/front"}, {"service", "front"}}, 3);
        fleet.waitUntilServing({"/front"}, "key-tenant");
        OffsetSampler sampler(fleet);

        section("of concurrent writes to the same version at different nodes, exactly one is accepted", [&] {
            core::Offset version = fleet.operators().put(
                fleet.node(0).operatorPort, "priorities", "contested", {{"level", 5}, {"worth", 1}});
            fleet.operators().waitUntilInForce(fleet.node(0).operatorPort, version, fleet.size());
            for (int round = 1; round <= 10; ++round) {
                version = writeConcurrently(fleet, version, round);
            }
        });
        section("an append whose answer is lost is applied once", [&] {
            const http::Response before = read(fleet, 2, "/v1/priorities/contested");
            fleet.controlLog({{"lose_answers", 1}});
            const http::Response written = responseOf(fleet.operators().send(
                fleet.node(2).operatorPort, "PUT", "/v1/priorities/contested", priority(500), etagOf(before)));
            LONGS_EQUAL_TEXT(200, written->status, written->body.c_str());
            const json::value control = fleet.calls().json(fleet.logPort(), "GET", "/control");
            LONGS_EQUAL(0, control.at("lose_answers").to_number<int>());
            const core::Offset change = changeOf(written);
            // The stream reports changes in order: when it reports this later change, all earlier ones have been
            // reported.
            const core::Offset later =
                fleet.operators().put(fleet.node(2).operatorPort, "priorities", "later", {{"level", 1}, {"worth", 1}});
            Watch watch(fleet, 2, change);
            const bool isReported = test::waitUntil([&] { return watch.inForce(later).has_value(); });
            CHECK_TEXT(isReported, watch.text().c_str());
            const auto accepted = watch.events("accepted");
            LONGS_EQUAL(1, std::count_if(accepted.begin(), accepted.end(), [](const json::object &event) {
                            return event.at("name").as_string() == "contested";
                        }));
        });
        section("while the log refuses requests", [&] {
            fleet.controlLog({{"refuse", true}});
            std::string outcome;
            section("a write gets 503 with its outcome", [&] {
                const http::Response response = responseOf(fleet.operators().send(
                    fleet.node(0).operatorPort, "PUT", "/v1/priorities/during-outage", priority(1)));
                LONGS_EQUAL(503, response->status);
                outcome = json::parse(response->body).at("outcome").as_string().c_str();
                CHECK(outcome == "not-run" || outcome == "unknown");
            });
            section("calls are answered at every node", [&] { checkServed(fleet); });
            section("a restarted node loads the configuration from its peers and serves", [&] {
                sampler.stopSampling(3);
                fleet.node(3).daemon->kill();
                LONGS_EQUAL(SIGKILL, fleet.node(3).daemon->wait().signal);
                fleet.restartDaemon(3);
                sampler.startSampling(3);
                fleet.waitUntilServing({"/front"}, "key-tenant");
                checkAllAgree(fleet);
            });
            fleet.controlLog({{"refuse", false}});
            section("after the outage all nodes agree", [&] {
                fleet.put("priorities", "after-outage", {{"level", 2}, {"worth", 2}});
                fleet.operators().waitUntilInForce(
                    fleet.node(3).operatorPort,
                    fleet.operators().put(
                        fleet.node(3).operatorPort, "priorities", "last", {{"level", 2}, {"worth", 3}}),
                    fleet.size());
                checkAllAgree(fleet);
                if (outcome == "not-run") {
                    LONGS_EQUAL(404, read(fleet, 1, "/v1/priorities/during-outage")->status);
                }
                checkServed(fleet);
            });
        });
        section("a change is not in force while a live but paused node lacks it", [&] {
            constexpr std::size_t Paused = 2;
            const std::string host = fleet.node(Paused).host;
            const std::uint16_t port = fleet.node(0).operatorPort;
            section("it is in force once the paused node counts as dead", [&] {
                fleet.node(Paused).daemon->pause();
                const core::Offset change =
                    fleet.operators().put(port, "priorities", "paused", {{"level", 2}, {"worth", 3}});
                Watch watch(fleet, 0, change);
                std::optional<json::object> event;
                CHECK(test::waitUntil([&] {
                    event = watch.inForce(change);
                    return event.has_value();
                }));
                // The node is still paused, so this observer lists it as dead now if it did when the event came.
                STRCMP_EQUAL("dead", stateSeenBy(fleet, 0, host).c_str());
                LONGS_EQUAL(3, event->at("live").to_number<int>());
                fleet.node(Paused).daemon->resume();
                fleet.operators().waitUntilInForce(port, change, fleet.size());
            });
            section("it is in force on all nodes when the paused one resumes in time", [&] {
                fleet.node(Paused).daemon->pause();
                const core::Offset change =
                    fleet.operators().put(port, "priorities", "resumed", {{"level", 2}, {"worth", 4}});
                Watch watch(fleet, 0, change);
                CHECK(test::waitUntil([&] { return !watch.events("accepted").empty(); }));
                const bool isEarly = watch.inForce(change) && stateSeenBy(fleet, 0, host) != "dead";
                CHECK_FALSE(isEarly);
                fleet.node(Paused).daemon->resume();
                CHECK(test::waitUntil([&] { return watch.inForce(change).has_value(); }));
                const json::object event = *watch.inForce(change);
                LONGS_EQUAL(event.at("live").to_number<int>(), event.at("holding").to_number<int>());
                fleet.operators().waitUntilInForce(port, change, fleet.size());
            });
            checkAllAgree(fleet);
        });
        section("the applied offset of no node has decreased", [&] {
            sampler.stop();
            CHECK(sampler.samples() > 100);
            for (const std::string &decrease : sampler.decreases()) {
                std::cout << decrease << "\n";
            }
            LONGS_EQUAL(0, sampler.decreases().size());
        });
    });
}
