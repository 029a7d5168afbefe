#include "berylspring/node/dispatcher.h"
#include "support/section.h"

#include <memory>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;

const core::HostId Self("h1");
const core::DataCentreId DataCentre("a");
const core::ServiceId Service("visits");

}

TEST_GROUP(ANodeThatCannotBeReached)
{
    asio::io_context context;
    core::TimePoint now{1h};
    std::set<core::HostId> refusing; ///< Hosts that refuse connections.
    bool isSentBeforeLoss = false; ///< A connection is lost after the request was sent, instead of refused.
    int attempts = 0;
    int retries = 0;
    node::Dispatcher dispatcher{Self, DataCentre, true, hooks()};

    node::DispatcherHooks hooks()
    {
        node::EndpointViews views;
        for (const char *host : {"h2", "h3", "h4"}) {
            views.push_back(routing::EndpointView({.host = core::HostId(host),
                                                   .dataCentre = DataCentre,
                                                   .service = Service,
                                                   .slots = 4,
                                                   .reportedAt = now}));
        }
        return {.call = [this](core::HostId host,
                               wire::Message,
                               core::Duration) -> asio::awaitable<wire::Result<wire::Message>> {
                    ++attempts;
                    if (refusing.contains(host)) {
                        co_return tl::unexpected(
                            wire::Error(wire::ErrorCode::ConnectionLost, isSentBeforeLoss, "Connection refused"));
                    }
                    co_return wire::Message(wire::CallResponse({.status = 200}));
                },
                .endpoints = [views = std::make_shared<const node::EndpointViews>(std::move(views))](
                                 const core::ServiceId &) { return views; },
                .now = [this] { return now; },
                .random = core::systemRandom(),
                .retried = [this] { ++retries; }};
    }

    wire::CallResponse dispatch()
    {
        attempts = 0;
        const wire::CallRequest call({.service = Service, .isIdempotent = false, .remaining = 1s, .retryAllowance = 0});
        auto response = asio::co_spawn(context, dispatcher.dispatch(call), asio::use_future);
        context.restart();
        context.run();
        return response.get();
    }
};

// Guards against a request that fails beside nodes that could serve it, because connections that were refused have used
// up its retries.
TEST(ANodeThatCannotBeReached, costsNoRetry)
{
    refusing = {core::HostId("h2"), core::HostId("h3")};
    section("the request reaches the third node, whichever comes first", [&] {
        for (int i = 0; i < 20; ++i) {
            LONGS_EQUAL(200, dispatch()->status);
        }
        LONGS_EQUAL(0, retries);
    });
    section("if none can be reached, three are tried and the request has not run", [&] {
        refusing.insert(core::HostId("h4"));
        const wire::CallResponse response = dispatch();
        CHECK_TRUE(response->refusal.has_value());
        CHECK_TRUE(response->refusal->outcome() == core::Outcome::NotRun);
        CHECK_TRUE(attempts <= 3);
    });
    section("a connection that is lost after the request was sent is another matter: it may have run", [&] {
        isSentBeforeLoss = true;
        const wire::CallResponse response = dispatch();
        CHECK_TRUE(response->refusal.has_value());
        CHECK_TRUE(response->refusal->outcome() == core::Outcome::Unknown);
        LONGS_EQUAL(1, attempts);
    });
}
