#include "berylspring/node/dispatcher.h"
#include "support/section.h"

#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;

const core::HostId Self("h1");
const core::DataCentreId DataCentre("a");
const core::ServiceId Service("deep");

asio::awaitable<wire::CallResponse> answerAfter(core::TimePoint &now, std::optional<core::Duration> time)
{
    if (time) {
        now += *time;
        co_return wire::CallResponse({.status = 200});
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
    co_await timer.async_wait(asio::use_awaitable);
    co_return wire::CallResponse({.status = 200});
}

}

TEST_GROUP(CallsThatAreGivenUp)
{
    asio::io_context context;
    core::TimePoint now{1h};
    std::optional<core::Duration> answerTime; ///< Empty: the endpoint never responds.
    node::Dispatcher dispatcher{Self, DataCentre, true, hooks()};

    node::DispatcherHooks hooks()
    {
        auto views = std::make_shared<const node::EndpointViews>(node::EndpointViews{routing::EndpointView(
            {.host = Self, .dataCentre = DataCentre, .service = Service, .slots = 4, .reportedAt = now})});
        return {.runLocally = [this](const wire::CallRequest &) { return answerAfter(now, answerTime); },
                .endpoints = [views = std::move(views)](const core::ServiceId &) { return views; },
                .now = [this] { return now; },
                .random = core::systemRandom(),
                .retried = [] {}};
    }

    /** Dispatches a call with 700 ms left and cancels it after the given time. */
    void giveUpAfter(core::Duration time, bool isNested)
    {
        const wire::CallRequest call({.service = Service, .isNested = isNested, .remaining = 700ms});
        asio::cancellation_signal signal;
        asio::co_spawn(context,
                       dispatcher.dispatch(call),
                       asio::bind_cancellation_slot(signal.slot(), [](const std::exception_ptr &, const auto &) {}));
        context.run_for(1ms);
        now += time;
        signal.emit(asio::cancellation_type::terminal);
        context.restart();
        context.run();
        context.restart();
    }
};

// Guards against an overload that goes undetected: when all calls to a deep service are cancelled, no response reports
// its queue, and root requests would be admitted as if the service were idle.
TEST(CallsThatAreGivenUp, countAsPressureOnTheServiceThatDidNotAnswer)
{
    section("a call that is cancelled early adds no pressure", [&] {
        giveUpAfter(100ms, true);
        DOUBLES_EQUAL(0, dispatcher.nestedPressure(now), 1e-9);
    });
    section("nor does a root request, whose entry sheds for the services behind the first one", [&] {
        giveUpAfter(690ms, false);
        DOUBLES_EQUAL(0, dispatcher.nestedPressure(now), 1e-9);
    });
    section("nor does a late response: a call made late in a request has little time left", [&] {
        answerTime = 690ms;
        giveUpAfter(0ms, true);
        answerTime.reset();
        DOUBLES_EQUAL(0, dispatcher.nestedPressure(now), 1e-9);
    });
    section("a call that is cancelled close to its deadline does", [&] {
        giveUpAfter(690ms, true);
        CHECK_TRUE(dispatcher.nestedPressure(now) > 1);
    });
}
