#include "berylspring/node/dispatcher.h"
#include "support/section.h"

#include <memory>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;

const core::HostId Self("h1");
const core::HostId Other("h2");
const core::DataCentreId DataCentre("a");
const core::ServiceId Service("visits");

asio::awaitable<wire::Result<wire::Message>> answerWith(std::uint16_t status)
{
    co_return wire::Message(wire::CallResponse({.status = status, .body = "part"}));
}

}

TEST_GROUP(AnAnswerWithoutAStatus)
{
    asio::io_context context;
    core::TimePoint now{1h};

    wire::CallResponse responseTo(std::uint16_t status)
    {
        auto views = std::make_shared<const node::EndpointViews>(node::EndpointViews{routing::EndpointView(
            {.host = Other, .dataCentre = DataCentre, .service = Service, .slots = 4, .reportedAt = now})});
        node::Dispatcher dispatcher(
            Self,
            DataCentre,
            true,
            {.call = [=](const core::HostId &, const wire::Message &, core::Duration) { return answerWith(status); },
             .endpoints = [views = std::move(views)](const core::ServiceId &) { return views; },
             .now = [this] { return now; },
             .random = core::systemRandom(),
             .retried = [] {}});
        wire::CallResponse response;
        asio::co_spawn(context,
                       dispatcher.dispatch(wire::CallRequest({.service = Service, .remaining = 1s})),
                       [&](const std::exception_ptr &, wire::CallResponse value) { response = std::move(value); });
        context.run();
        context.restart();
        return response;
    }
};

// Guards against an answer without a valid status that one node passes on to the callers of another one.
TEST(AnAnswerWithoutAStatus, isNotPassedOnFromAnotherNode)
{
    for (const std::uint16_t status : {0, 99, 102}) {
        section("status " + std::to_string(status), [&] {
            const wire::CallResponse response = responseTo(status);
            CHECK_TRUE(response->refusal.has_value());
            CHECK(response->refusal->outcome() == core::Outcome::Unknown);
        });
    }
    section("a final status is", [&] { LONGS_EQUAL(404, responseTo(404)->status); });
}
