#include "berylspring/node/dispatcher.h"
#include "support/section.h"

#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;

const core::HostId Self("h1");
const core::ServiceId Service("visits");

}

TEST_GROUP(APaceThatIsReported)
{
    asio::io_context context;
    core::TimePoint now{1h};
    wire::CallResponse answer;
    core::Duration hopTime = 30ms; ///< From the sending of a request to its answer.
    std::vector<bool> changes;
    node::Dispatcher dispatcher{Self, core::DataCentreId("a"), false, hooks()};

    node::DispatcherHooks hooks()
    {
        const node::EndpointViews views{routing::EndpointView(
            {.host = Self, .dataCentre = core::DataCentreId("a"), .service = Service, .slots = 4, .reportedAt = now})};
        auto shared = std::make_shared<const node::EndpointViews>(views);
        return {.runLocally = [this](const wire::CallRequest &) -> asio::awaitable<wire::CallResponse> {
                    now += hopTime;
                    co_return answer;
                },
                .endpoints = [shared](const core::ServiceId &) { return shared; },
                .now = [this] { return now; },
                .random = core::systemRandom(),
                .retried = [] {},
                .policyChanged = [this](const core::ServiceId &, bool isByCost) { changes.push_back(isByCost); }};
    }
    void dispatch(wire::CallResponseFields fields)
    {
        answer = wire::CallResponse(std::move(fields));
        const wire::CallRequest call({.service = Service, .route = core::RouteId("r"), .remaining = 10s});
        asio::co_spawn(context, dispatcher.dispatch(call), asio::detached);
        context.run();
        context.restart();
    }
};

// Guards against figures of responses that are lost between the inner protocol and the router.
TEST(APaceThatIsReported, reachesTheRouter)
{
    dispatch({.status = 200, .serviceTime = 20ms, .outstandingWork = 2});
    dispatch({.status = 200, .serviceTime = 20ms, .outstandingWork = 2});
    section("without a pace nothing changes", [&] {
        CHECK(changes.empty());
        CHECK(dispatcher.workStates(now).empty());
    });
    dispatch({.status = 200, .serviceTime = 20ms, .outstandingWork = 2, .pace = 1});
    section("with it, cost and outstanding work are in use", [&] {
        const auto states = dispatcher.workStates(now);
        LONGS_EQUAL(1, states.size());
        LONGS_EQUAL(3, states.front().chosen);
        DOUBLES_EQUAL(0.02, states.front().cost * states.front().slowness, 0.002);
        DOUBLES_EQUAL(2, states.front().outstanding * states.front().slowness, 0.01);
    });
    section("the expected cost of a request is that of its service, or an initial one", [&] {
        const core::RouteId other("other");
        const auto state = dispatcher.workStates(now).front();
        DOUBLES_EQUAL(state.cost, dispatcher.expectedCost(state.service, other, "GET"), 1e-12);
        DOUBLES_EQUAL(0.01, dispatcher.expectedCost(core::ServiceId("unknown"), other, "GET"), 1e-12);
    });
    section("errors are no samples of the cost", [&] {
        const double cost = dispatcher.workStates(now).front().cost;
        dispatch({.status = 503, .serviceTime = 1ms, .pace = 1});
        dispatch({.status = 429, .serviceTime = 1ms, .pace = 1});
        dispatch({.status = 500, .serviceTime = 1ms, .pace = 1});
        DOUBLES_EQUAL(cost, dispatcher.workStates(now).front().cost, 1e-12);
        CHECK(changes == std::vector<bool>{true});
    });
}
