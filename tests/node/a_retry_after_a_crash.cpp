#include "berylspring/node/dispatcher.h"
#include "support/section.h"

#include <string>
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
const core::DataCentreId DataCentre("a");
const core::ServiceId Service("visits");
constexpr core::Duration AttemptTime = 100ms;

}

TEST_GROUP(ARetryAfterACrash)
{
    asio::io_context context;
    core::TimePoint now{1h};
    bool doesCrash = true;
    std::vector<bool> suspicions; ///< CallRequest::isSuspect of the attempts.
    std::vector<core::Duration> rootTimes; ///< CallRequest::rootRemaining of the attempts.
    node::Dispatcher dispatcher{Self, DataCentre, false, hooks()};

    asio::awaitable<wire::CallResponse> attempt(wire::CallRequest call)
    {
        suspicions.push_back(call->isSuspect);
        rootTimes.push_back(call->rootRemaining);
        now += AttemptTime;
        const core::Refusal refusal(core::RefusalReason::ConnectionLost, core::Outcome::Unknown);
        co_return wire::CallResponse({.refusal = refusal, .hasEndpointCrashed = doesCrash});
    }
    node::DispatcherHooks hooks()
    {
        node::EndpointViews views;
        for (const char *host : {"h1", "h2", "h3"}) {
            views.push_back(routing::EndpointView({.host = core::HostId(host),
                                                   .dataCentre = DataCentre,
                                                   .service = Service,
                                                   .slots = 4,
                                                   .reportedAt = now}));
        }
        auto shared = std::make_shared<const node::EndpointViews>(std::move(views));
        return {.call = [this](const core::HostId &,
                               wire::Message message,
                               core::Duration) -> asio::awaitable<wire::Result<wire::Message>> {
                    co_return wire::Message(co_await attempt(std::get<wire::CallRequest>(message)));
                },
                .runLocally = [this](wire::CallRequest call) { return attempt(std::move(call)); },
                .endpoints = [shared](const core::ServiceId &) { return shared; },
                .now = [this] { return now; },
                .random = core::systemRandom(),
                .retried = [] {}};
    }
    void dispatch(bool isSuspect = false, core::Duration rootRemaining = {})
    {
        suspicions.clear();
        rootTimes.clear();
        const wire::CallRequest call({.service = Service,
                                      .remaining = 10s,
                                      .retryAllowance = 2,
                                      .isSuspect = isSuspect,
                                      .rootRemaining = rootRemaining});
        asio::co_spawn(context, dispatcher.dispatch(call), asio::detached);
        context.run();
        context.restart();
    }
};

using Suspicions = std::vector<bool>;

// Guards against a request that ends one endpoint after the other, since its retries are faster than the notices.
TEST(ARetryAfterACrash, saysThatItsRequestIsSuspected)
{
    section("each attempt after the crash says so", [&] {
        dispatch();
        CHECK((suspicions == Suspicions{false, true, true}));
    });
    section("a suspicion of the sender is passed on", [&] {
        dispatch(true);
        CHECK((suspicions == Suspicions{true, true, true}));
    });
    section("a connection that was lost without a crash casts no suspicion", [&] {
        doesCrash = false;
        dispatch();
        CHECK((suspicions == Suspicions{false, false, false}));
    });
}

using Times = std::vector<core::Duration>;

// Guards against a retry that waits as if its root were younger than it is, or as if an unknown root were known.
TEST(ARetryAfterACrash, carriesTheTimeThatItsRootHasLeft)
{
    section("each attempt carries less, and what is over is not reported as unknown", [&] {
        dispatch(false, 150ms);
        CHECK((rootTimes == Times{150ms, 50ms, 1ns}));
    });
    section("an unknown time stays unknown", [&] {
        dispatch();
        CHECK((rootTimes == Times{0ns, 0ns, 0ns}));
    });
}
