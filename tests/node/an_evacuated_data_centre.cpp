#include "berylspring/config/log_record.h"
#include "berylspring/node/dispatcher.h"
#include "node/evacuations.h"
#include "support/section.h"

#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;

const core::DataCentreId North("north");
const core::DataCentreId South("south");
const core::ServiceId Service("visits");

config::Catalogue evacuating(const config::Catalogue &before, const std::vector<core::DataCentreId> &dataCentres)
{
    config::LogRecordFields record{.operationId = "change-" + std::to_string(before.appliedOffset()),
                                   .kind = config::RecordKind::Replace};
    for (const core::DataCentreId &dataCentre : dataCentres) {
        record.resources.emplace_back(config::Evacuation({.name = dataCentre}));
    }
    return before.withRecord(before.appliedOffset() + 1, config::toJson(config::LogRecord(record))).catalogue;
}

}

TEST_GROUP(AnEvacuatedDataCentre)
{
    node::detail::Evacuations evacuations;
    std::vector<core::HostId> sentTo;
    bool isSouthKnown = true;
    bool isRefusing = false; ///< The node of a host in the north refuses, as it knows of the evacuation.
    node::Dispatcher dispatcher{core::HostId("entry"), North, true, hooks()};

    node::DispatcherHooks hooks()
    {
        node::DispatcherHooks hooks;
        hooks.call = [this](const core::HostId &host, const wire::Message &, core::Duration) { return answer(host); };
        hooks.endpoints = [this](const core::ServiceId &) {
            const routing::EndpointView near(
                {.host = core::HostId("n1"), .dataCentre = North, .service = Service, .slots = 4});
            const routing::EndpointView far(
                {.host = core::HostId("s1"), .dataCentre = South, .service = Service, .slots = 4});
            return std::make_shared<const node::EndpointViews>(isSouthKnown ? node::EndpointViews{near, far}
                                                                            : node::EndpointViews{near});
        };
        hooks.evacuatedDataCentres = [this] { return evacuations.dataCentres(); };
        hooks.now = [] { return core::TimePoint(1h); };
        hooks.random = core::systemRandom();
        hooks.retried = [] {};
        return hooks;
    }

    asio::awaitable<wire::Result<wire::Message>> answer(core::HostId host)
    {
        sentTo.push_back(host);
        wire::CallResponseFields fields{.status = 200};
        if (isRefusing && host == core::HostId("n1")) {
            fields.refusal = core::Refusal(core::RefusalReason::Draining, core::Outcome::NotRun);
        }
        co_return wire::Message(wire::CallResponse(std::move(fields)));
    }

    wire::CallResponse dispatch(bool isNested = false)
    {
        asio::io_context context;
        std::optional<wire::CallResponse> response;
        sentTo.clear();
        asio::co_spawn(
            context,
            dispatcher.dispatch(wire::CallRequest({.service = Service, .isNested = isNested, .remaining = 700ms})),
            [&](const std::exception_ptr &, wire::CallResponse value) { response = std::move(value); });
        context.run();
        return response.value();
    }
};

// Guards against entries that send to an evacuated data centre, and against refusals that do not tell when to return.
TEST(AnEvacuatedDataCentre, getsNoRequests)
{
    const std::vector<core::HostId> near{core::HostId("n1")};
    const std::vector<core::HostId> far{core::HostId("s1")};
    section("before, requests stay in the own data centre", [&] {
        CHECK_FALSE(dispatch()->refusal.has_value());
        CHECK_TRUE(sentTo == near);
    });
    section("an entry that is behind is refused as not run and sends the request elsewhere", [&] {
        isRefusing = true;
        CHECK_FALSE(dispatch()->refusal.has_value());
        CHECK_TRUE(sentTo == (std::vector<core::HostId>{near.front(), far.front()}));
    });
    const config::Catalogue north = evacuating({}, {North});
    CHECK_TRUE(evacuations.isBehind(north.appliedOffset()));
    CHECK_TRUE(evacuations.apply(north).evacuated == std::vector<core::DataCentreId>{North});
    CHECK_FALSE(evacuations.isBehind(north.appliedOffset()));
    section("entries of the data centre send root and nested requests to the other one", [&] {
        CHECK_FALSE(dispatch()->refusal.has_value());
        CHECK_TRUE(sentTo == far);
        CHECK_FALSE(dispatch(true)->refusal.has_value());
        CHECK_TRUE(sentTo == far);
    });
    section("a service without endpoints elsewhere is refused as not run, with a time to return", [&] {
        isSouthKnown = false;
        const wire::CallResponse response = dispatch();
        CHECK_TRUE(response->refusal->reason() == core::RefusalReason::NoEndpoint);
        CHECK_TRUE(response->refusal->outcome() == core::Outcome::NotRun);
        CHECK_TRUE(response->refusal->retryAfter() > core::Duration::zero());
        CHECK_TRUE(sentTo.empty());
        LONGS_EQUAL(1, dispatcher.evacuatedRefusals());
        isSouthKnown = true;
    });
    const config::Catalogue both = evacuating(north, {North, South});
    section("two data centres at once are reported one by one", [&] {
        CHECK_TRUE(evacuations.apply(both).evacuated == std::vector<core::DataCentreId>{South});
        CHECK_TRUE(dispatch()->refusal.has_value());
    });
    section("an older configuration that is reported late changes nothing",
            [&] { CHECK_TRUE(evacuations.apply(north) == node::detail::EvacuationChange()); });
    section("taken back, it gets requests again", [&] {
        isRefusing = false;
        CHECK_TRUE(evacuations.apply(evacuating(both, {South})).returned == std::vector<core::DataCentreId>{North});
        CHECK_FALSE(dispatch()->refusal.has_value());
        CHECK_TRUE(sentTo == near);
    });
}
