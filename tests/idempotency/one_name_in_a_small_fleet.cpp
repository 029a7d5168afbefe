#include "berylspring/core/rendezvous.h"
#include "berylspring/idempotency/claim_name.h"
#include "berylspring/idempotency/service.h"
#include "support/section.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using idempotency::IdempotencyService;
using idempotency::NameOrigin;
using test::section;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/** @brief Three nodes of data centre "east" with direct calls to each other; "west" is declared but unreachable. */
class Fleet
{
public:
    Fleet()
    {
        for (const char *id : {"h0", "h1", "h2"}) {
            live.insert(core::HostId(id));
        }
        for (const core::HostId &host : live) {
            nodes[host] = std::make_unique<IdempotencyService>(context.get_executor(), settings(host), hooks(host));
        }
    }

    static std::string nameOf(const std::string &key)
    {
        return idempotency::claimName(core::WorkspaceId("w"), core::RouteId("r"), key);
    }

    static wire::CallRequest request(const std::string &key)
    {
        wire::CallRequestFields fields;
        fields.method = "POST";
        fields.body = "body";
        fields.claimName = nameOf(key);
        fields.remaining = 30s;
        fields.rootRemaining = 1h;
        return wire::CallRequest(std::move(fields));
    }

    core::HostId homeOf(const std::string &key) const
    {
        return core::rendezvousFirst(nameOf(key), {live.begin(), live.end()});
    }

    /** @brief Starts a send. The result is empty until the response arrives. */
    std::shared_ptr<std::optional<wire::CallResponse>>
    send(const core::HostId &entry, const std::string &key, NameOrigin origin = NameOrigin::Caller)
    {
        auto result = std::make_shared<std::optional<wire::CallResponse>>();
        auto onEnd = [result](const std::exception_ptr &, const wire::CallResponse &response) { *result = response; };
        auto &signal = signals.emplace_back(std::make_unique<asio::cancellation_signal>());
        asio::co_spawn(context,
                       nodes[entry]->run(request(key), origin),
                       asio::bind_cancellation_slot(signal->slot(), std::move(onEnd)));
        return result;
    }

    asio::io_context context;
    std::set<core::HostId> live;
    std::map<core::HostId, std::unique_ptr<IdempotencyService>> nodes;
    std::vector<std::unique_ptr<asio::cancellation_signal>> signals;
    std::shared_ptr<asio::steady_timer> gate; ///< If set, requests wait at the endpoint until it is cancelled.
    std::atomic<int> effects{0};
    std::function<void(const wire::CallRequest &)> dispatching; ///< If set, is called with each request.

private:
    static idempotency::IdempotencySettings settings(const core::HostId &host)
    {
        idempotency::IdempotencySettings settings;
        settings.self = host;
        settings.dataCentre = core::DataCentreId("east");
        settings.declared = {core::DataCentreId("east"), core::DataCentreId("west")};
        return settings;
    }

    idempotency::IdempotencyHooks hooks(const core::HostId &host)
    {
        idempotency::IdempotencyHooks hooks;
        hooks.call = [this, host](core::HostId to, wire::Message message, core::Duration) {
            return call(host, std::move(to), std::move(message));
        };
        hooks.liveHosts = [this](const core::DataCentreId &dataCentre) {
            const bool isEast = dataCentre == core::DataCentreId("east");
            return isEast ? std::vector<core::HostId>(live.begin(), live.end()) : std::vector<core::HostId>();
        };
        hooks.recentHosts = hooks.liveHosts;
        hooks.dispatch = [this](wire::CallRequest call) { return dispatch(std::move(call)); };
        hooks.now = [] { return std::chrono::steady_clock::now(); };
        hooks.random = core::systemRandom();
        return hooks;
    }

    asio::awaitable<wire::Result<wire::Message>> call(core::HostId from, core::HostId to, wire::Message message)
    {
        auto reply = co_await nodes[to]->handle(std::move(from), std::move(message));
        co_return reply;
    }

    asio::awaitable<wire::CallResponse> dispatch(wire::CallRequest call)
    {
        if (gate) {
            boost::system::error_code ignored;
            co_await gate->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (dispatching) {
            dispatching(call);
        }
        wire::CallResponseFields answer;
        answer.status = 200;
        answer.body = call->claimName + " " + std::to_string(++effects);
        co_return wire::CallResponse(std::move(answer));
    }
};

}

TEST_GROUP(OneNameInASmallFleet){};

// Guards against a name that is released because its caller disconnects, although the request may have reached the
// endpoint.
TEST(OneNameInASmallFleet, keepsItsClaimWhenTheCallerDisconnects)
{
    Fleet fleet;
    const auto home = fleet.homeOf("east/a");
    const auto entry = *std::find_if(fleet.live.begin(), fleet.live.end(), [&](const auto &h) { return h != home; });
    fleet.gate = std::make_shared<asio::steady_timer>(fleet.context, asio::steady_timer::time_point::max());
    const auto first = fleet.send(entry, "east/a");
    fleet.context.poll();
    LONGS_EQUAL(1, fleet.nodes[home]->counters().dispatched);
    section("the first caller disconnects while the request runs", [&] {
        fleet.signals.front()->emit(asio::cancellation_type::terminal);
        fleet.context.poll();
        CHECK(first->has_value());
    });
    section("a resend waits for the running request and gets its response", [&] {
        const auto second = fleet.send(home, "east/a");
        fleet.context.poll();
        CHECK_FALSE(second->has_value());
        fleet.gate->cancel();
        fleet.context.poll();
        STRCMP_EQUAL("w/r/east/a 1", (**second)->body.c_str());
        LONGS_EQUAL(1, fleet.effects);
    });
}

// Guards against a call that queues as if its root were as young as at the entry, or older by the margin of the answer.
TEST(OneNameInASmallFleet, lowersTheTimeOfItsRootByWhatHasElapsed)
{
    Fleet fleet;
    wire::CallRequest dispatched;
    fleet.dispatching = [&](const wire::CallRequest &call) { dispatched = call; };
    fleet.send(core::HostId("h0"), "east/t");
    fleet.context.poll();
    LONGS_EQUAL(1, fleet.effects);
    const wire::CallRequest sent = Fleet::request("east/t");
    const core::Duration elapsed = sent->rootRemaining - dispatched->rootRemaining;
    CHECK(elapsed > 0s);
    section("the time of the call itself is also shorter by the margin",
            [&] { CHECK(sent->remaining - dispatched->remaining == elapsed + 20ms); });
}

// Guards against a planned stop that loses stored responses or interrupts a running request.
TEST(OneNameInASmallFleet, movesToItsNextHomeAtAPlannedStop)
{
    Fleet fleet;
    const auto home = fleet.homeOf("east/b");
    fleet.gate = std::make_shared<asio::steady_timer>(fleet.context, asio::steady_timer::time_point::max());
    const auto first = fleet.send(home, "east/b");
    fleet.context.poll();
    bool isHandedOver = false;
    fleet.live.erase(home);
    asio::co_spawn(fleet.context, fleet.nodes[home]->handOver(), [&](const std::exception_ptr &, bool isComplete) {
        isHandedOver = isComplete;
    });
    fleet.context.poll();
    CHECK_FALSE(isHandedOver);
    fleet.gate->cancel();
    fleet.context.run();
    CHECK(isHandedOver);
    LONGS_EQUAL(1, fleet.nodes[home]->counters().recordsHandedOver);
    fleet.nodes.erase(home);
    section("each remaining node replays the stored response", [&] {
        for (const core::HostId &entry : fleet.live) {
            const auto again = fleet.send(entry, "east/b");
            fleet.context.restart();
            fleet.context.run();
            CHECK((**again)->body == (**first)->body);
        }
        LONGS_EQUAL(1, fleet.effects);
    });
}

// Guards against `not-run` for a name that another node may have forwarded before the data centre became unreachable.
TEST(OneNameInASmallFleet, isRefusedWhenItsDataCentreIsUnreachable)
{
    Fleet fleet;
    const core::HostId entry("h0");
    const auto byCaller = fleet.send(entry, "west/c");
    const auto byEntry = fleet.send(entry, "west/d", NameOrigin::Entry);
    fleet.context.run();
    CHECK((**byCaller)->refusal->reason() == core::RefusalReason::HomeUnreachable);
    CHECK((**byCaller)->refusal->outcome() == core::Outcome::Unknown);
    CHECK((**byEntry)->refusal->outcome() == core::Outcome::NotRun);
}

// Guards against races between sends of one name on several threads. Also run with ThreadSanitizer.
TEST(OneNameInASmallFleet, runsOnceForManySendsOnSeveralThreads)
{
    constexpr int Names = 40;
    constexpr int SendsPerName = 6;
    constexpr int Threads = 3;
    Fleet fleet;
    std::vector<std::shared_ptr<std::optional<wire::CallResponse>>> results;
    const std::vector<core::HostId> entries(fleet.live.begin(), fleet.live.end());
    for (int send = 0; send < Names * SendsPerName; ++send) {
        const auto &entry = entries[static_cast<std::size_t>(send) % entries.size()];
        results.push_back(fleet.send(entry, "east/" + std::to_string(send / SendsPerName)));
    }
    {
        std::vector<std::jthread> threads;
        for (int i = 0; i < Threads; ++i) {
            threads.emplace_back([&] { fleet.context.run(); });
        }
    }
    LONGS_EQUAL(Names, fleet.effects);
    for (std::size_t send = 0; send < results.size(); ++send) {
        const std::size_t first = send - send % SendsPerName;
        CHECK((**results[send])->status == 200);
        CHECK((**results[send])->body == (**results[first])->body);
    }
}
