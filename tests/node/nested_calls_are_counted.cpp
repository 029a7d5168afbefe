#include "berylspring/node/dispatcher.h"
#include "support/section.h"

#include <memory>
#include <utility>

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
const core::DataCentreId DataCentre("a");
const core::ServiceId Service("deep");

asio::awaitable<wire::CallResponse> answerWith(wire::CallResponse response)
{
    co_return response;
}

wire::CallResponse refusedWith(core::Outcome outcome)
{
    return wire::CallResponse({.refusal = core::Refusal(core::RefusalReason::DeadlineExceeded, outcome)});
}

}

TEST_GROUP(NestedCallsAreCounted)
{
    asio::io_context context;
    core::TimePoint now{1h};
    wire::CallResponse response;
    node::Dispatcher dispatcher{Self, DataCentre, true, hooks()};

    node::DispatcherHooks hooks()
    {
        auto views = std::make_shared<const node::EndpointViews>(node::EndpointViews{routing::EndpointView(
            {.host = Self, .dataCentre = DataCentre, .service = Service, .slots = 4, .reportedAt = now})});
        return {.runLocally = [this](const wire::CallRequest &) { return answerWith(response); },
                .endpoints = [views = std::move(views)](const core::ServiceId &) { return views; },
                .now = [this] { return now; },
                .random = core::systemRandom(),
                .retried = [] {}};
    }

    void dispatch(bool isNested, wire::CallResponse answer)
    {
        response = std::move(answer);
        asio::co_spawn(
            context,
            dispatcher.dispatch(wire::CallRequest({.service = Service, .isNested = isNested, .remaining = 700ms})),
            asio::detached);
        context.run();
        context.restart();
    }
};

TEST(NestedCallsAreCounted, byServiceAndResult)
{
    section("root requests are not counted", [&] {
        dispatch(false, wire::CallResponse({.status = 200}));
        CHECK_TRUE(dispatcher.nestedCalls().empty());
    });
    section("answers, refusals before a start and failures are counted apart", [&] {
        dispatch(true, wire::CallResponse({.status = 200}));
        dispatch(true, wire::CallResponse({.status = 500}));
        dispatch(true, refusedWith(core::Outcome::NotRun));
        dispatch(true, refusedWith(core::Outcome::Unknown));
        const node::NestedCallCounts expected{.answered = 2, .notRun = 1, .unknown = 1};
        CHECK_TRUE(dispatcher.nestedCalls().at(Service) == expected);
    });
}
