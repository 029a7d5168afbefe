#include "berylspring/node/dispatcher.h"
#include "node/departed_endpoints.h"
#include "support/section.h"

#include <map>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using membership::Member;
using membership::MemberSnapshot;
using test::section;

namespace {

namespace asio = boost::asio;

const core::ServiceId Visits("visits");
const core::DataCentreId North("north");

Member member(const std::string &host, const std::string &service, wire::MemberState state = wire::MemberState::Alive)
{
    wire::MemberUpdateFields fields{.host = core::HostId(host), .dataCentre = North, .state = state};
    if (!service.empty()) {
        fields.endpoint = wire::EndpointState({.service = core::ServiceId(service), .slots = 4});
    }
    return {wire::MemberUpdate(std::move(fields)), core::TimePoint(), core::TimePoint()};
}

}

TEST_GROUP(EndpointsThatHaveLeft)
{
    asio::io_context context;
    core::TimePoint now{1h};
    std::string target; ///< Host of the only endpoint that the next request can be sent to.
    std::map<std::string, core::Duration> serviceTimes{{"quick", 20ms}, {"slow", 60ms}};
    bool isAnswering = true;
    int changes = 0;
    node::Dispatcher dispatcher{core::HostId("self"), North, false, hooks()};

    node::DispatcherHooks hooks()
    {
        return {.call = [this](const core::HostId &host,
                               const wire::Message &,
                               core::Duration) -> asio::awaitable<wire::Result<wire::Message>> {
                    while (!isAnswering) {
                        co_await asio::post(context, asio::use_awaitable);
                    }
                    const core::Duration time = serviceTimes.at(host.value());
                    now += time;
                    co_return wire::Message(wire::CallResponse({.status = 200, .serviceTime = time, .pace = 1}));
                },
                .endpoints =
                    [this](const core::ServiceId &) {
                        return std::make_shared<const node::EndpointViews>(
                            node::EndpointViews{routing::EndpointView({.host = core::HostId(target),
                                                                       .dataCentre = North,
                                                                       .service = Visits,
                                                                       .slots = 4,
                                                                       .reportedAt = now})});
                    },
                .now = [this] { return now; },
                .random = core::systemRandom(),
                .retried = [] {},
                .policyChanged = [this](const core::ServiceId &, bool) { ++changes; }};
    }
    void start(const std::string &host)
    {
        target = host;
        const wire::CallRequest call({.service = Visits, .route = core::RouteId("r"), .remaining = 10s});
        asio::co_spawn(context, dispatcher.dispatch(call), asio::detached);
    }
    void send(const std::string &host, int count)
    {
        for (int i = 0; i < count; ++i) {
            start(host);
            context.restart();
            context.run();
        }
    }
    [[nodiscard]] std::map<std::string, routing::EndpointWorkState> states() const
    {
        std::map<std::string, routing::EndpointWorkState> byHost;
        for (const routing::EndpointWorkState &state : dispatcher.workStates(now)) {
            byHost.emplace(state.host.value(), state);
        }
        return byHost;
    }
};

// Guards against the slowness of endpoints that have left, which stays in the mean of the service, so that the ones
// that are left look quicker than they are.
TEST(EndpointsThatHaveLeft, noLongerCountInTheMeanOfTheService)
{
    for (int round = 0; round < 40; ++round) {
        send("quick", 1);
        send("slow", 1);
    }
    const double before = states().at("quick").slowness;
    const double cost = states().at("quick").cost;
    CHECK(before < 0.8);
    section("a host that has died is kept, since it may come back", [&] {
        dispatcher.forgetDeparted(
            MemberSnapshot({member("quick", "visits"), member("slow", "visits", wire::MemberState::Dead)}));
        DOUBLES_EQUAL(before, states().at("quick").slowness, 1e-12);
    });
    section("one that is dropped from the members is not, and the other one is the mean", [&] {
        dispatcher.forgetDeparted(MemberSnapshot({member("quick", "visits")}));
        LONGS_EQUAL(0, states().count("slow"));
        DOUBLES_EQUAL(1, states().at("quick").slowness, 1e-9);
    });
    section("the costs and the policy outlast the last endpoint", [&] {
        dispatcher.forgetDeparted(MemberSnapshot());
        CHECK(states().empty());
        const int changesBefore = changes;
        send("quick", 2);
        LONGS_EQUAL(changesBefore, changes);
        DOUBLES_EQUAL(cost, states().at("quick").cost, cost / 10);
    });
}

// Guards against an endpoint whose statistics go while requests run on it, so that their ends are counted on a new one.
TEST(EndpointsThatHaveLeft, areKeptWhileRequestsAreInFlight)
{
    send("slow", 2);
    isAnswering = false;
    start("slow");
    context.restart();
    context.poll_one();
    section("a check during the request changes nothing", [&] {
        dispatcher.forgetDeparted(MemberSnapshot());
        LONGS_EQUAL(3, states().at("slow").chosen);
    });
    isAnswering = true;
    context.run();
    section("the next one after its end removes the endpoint", [&] {
        dispatcher.forgetDeparted(MemberSnapshot());
        CHECK(states().empty());
    });
}

// Guards against a restart of an endpoint that loses what was learned about it.
TEST(EndpointsThatHaveLeft, areToldFromThoseThatRestart)
{
    const routing::KnownEndpoint known{Visits, core::HostId("h1")};
    const auto departed = [&](const std::vector<Member> &members) {
        return node::detail::departedEndpoints({known}, MemberSnapshot(members));
    };
    section("the host provides the service", [&] { CHECK(departed({member("h1", "visits")}).empty()); });
    section("the host has no endpoint at present", [&] { CHECK(departed({member("h1", "")}).empty()); });
    section("the host provides another service",
            [&] { CHECK(departed({member("h1", "bookings")}) == std::vector{known}); });
    section("the host is no member any more", [&] { CHECK(departed({member("h2", "visits")}) == std::vector{known}); });
}
