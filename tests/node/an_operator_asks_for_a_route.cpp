#include "berylspring/config/log_record.h"
#include "berylspring/http/operator_api.h"
#include "berylspring/node/dispatcher.h"
#include "berylspring/node/explain.h"
#include "berylspring/node/root_control.h"
#include "support/section.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using test::section;

namespace {

namespace asio = boost::asio;

const core::TimePoint startTime{1000h};
const core::DataCentreId north("north");
const core::DataCentreId south("south");

/** A route that is split over two services, and a workspace with a limit and a priority of its own. */
config::Catalogue configuration()
{
    config::LogRecordFields record{.operationId = "first", .kind = config::RecordKind::Replace};
    record.resources = {
        config::Priority({.name = config::PriorityId("usual"), .level = 3}),
        config::Priority({.name = config::PriorityId("high"), .level = 6}),
        config::Workspace({.name = core::WorkspaceId("w"), .priority = config::PriorityId("high")}),
        config::Limit({.name = config::LimitId("l"), .workspace = core::WorkspaceId("w"), .rate = 50, .burst = 25}),
        config::Route({.name = core::RouteId("visit"),
                       .prefix = "/visits",
                       .services = {{core::ServiceId("old"), 3}, {core::ServiceId("new"), 1}},
                       .priority = config::PriorityId("usual"),
                       .timeout = 2s})};
    return config::Catalogue().withRecord(1, config::toJson(config::LogRecord(record))).catalogue;
}

node::DispatcherHooks dispatcherHooks(int &drawn)
{
    node::DispatcherHooks hooks;
    hooks.endpoints = [](const core::ServiceId &service) {
        node::EndpointViews views;
        for (const core::DataCentreId &dataCentre : {north, south}) {
            views.push_back(routing::EndpointView({.host = core::HostId(service.value() + "-" + dataCentre.value()),
                                                   .dataCentre = dataCentre,
                                                   .service = service,
                                                   .slots = 4,
                                                   .isDraining = service.value() == "new" && dataCentre == north}));
        }
        return std::make_shared<const node::EndpointViews>(views);
    };
    hooks.call = [](const core::HostId &,
                    const wire::Message &,
                    core::Duration) -> asio::awaitable<wire::Result<wire::Message>> {
        co_return wire::Message(wire::CallResponse({.status = 200, .admittedLevel = 5}));
    };
    hooks.now = [] { return startTime; };
    hooks.random = [&drawn] { return static_cast<std::uint64_t>(++drawn); };
    return hooks;
}

}

TEST_GROUP(AnOperatorAsksForARoute)
{
    int drawn = 0;
    std::shared_ptr<const config::Catalogue> catalogue;
    node::LimitSettings limitSettings{.burstTolerance = 2};
    std::map<std::string, double> shedShares; ///< By service, in place of those of the root control.
    node::Dispatcher dispatcher{core::HostId("entry"), north, true, dispatcherHooks(drawn)};
    node::RootControl roots{{}, [this] { return static_cast<std::uint64_t>(++drawn); }};
    http::OperatorApi api{operatorHooks()};

    node::ExplainHooks explainHooks()
    {
        node::ExplainHooks hooks;
        hooks.catalogue = [this] { return catalogue; };
        hooks.isDeclared = [](const core::DataCentreId &name) { return name == north || name == south; };
        hooks.limitSettings = [this] { return limitSettings; };
        hooks.shedShare = [this](const node::CallPlan &plan, const std::string &method, core::TimePoint now) {
            const auto share = shedShares.find(plan->service.value());
            return share == shedShares.end() ? roots.shedShare(plan, method, now) : share->second;
        };
        hooks.route = [this](const wire::CallRequest &call, const auto &dataCentre, core::TimePoint now) {
            return dispatcher.explain(call, dataCentre.value_or(north), now);
        };
        return hooks;
    }

    http::OperatorHooks operatorHooks()
    {
        http::OperatorHooks hooks;
        hooks.tokenDigest = core::sha256("token");
        hooks.explain = [this](const http::ExplainQuestion &question) {
            return node::explainRequest(question, explainHooks(), startTime);
        };
        return hooks;
    }

    http::Response ask(const std::string &query, const std::string &token = "token", const std::string &method = "GET")
    {
        asio::io_context context;
        std::optional<http::Reply> reply;
        asio::co_spawn(context,
                       api.handle(http::Request({.method = method,
                                                 .target = "/v1/explain?" + query,
                                                 .headers = {{"Authorization", "Bearer " + token}}})),
                       [&](const std::exception_ptr &, http::Reply value) { reply = std::move(value); });
        context.run();
        return std::get<http::Response>(reply.value());
    }

    void checkProblem(const std::string &query, std::uint16_t status, const std::string &title)
    {
        const http::Response response = ask(query);
        LONGS_EQUAL(status, response->status);
        STRCMP_EQUAL(title.c_str(), boost::json::parse(response->body).at("title").as_string().c_str());
    }

    boost::json::value explained(const std::string &query)
    {
        const http::Response response = ask(query);
        LONGS_EQUAL(200, response->status);
        return boost::json::parse(response->body);
    }
};

// Guards against a node that answers from a configuration that it may not use, and against errors that cannot be told
// apart.
TEST(AnOperatorAsksForARoute, andGetsAClearError)
{
    section("before the node has a configuration", [&] { checkProblem("path=/visits/1", 503, "not-ready"); });
    catalogue = std::make_shared<const config::Catalogue>(configuration());
    section("for a path without a route", [&] { checkProblem("path=/other", 404, "route-unknown"); });
    section("for a workspace that does not exist",
            [&] { checkProblem("path=/visits&workspace=v", 404, "workspace-unknown"); });
    section("for a question that cannot be read", [&] {
        for (const std::string query : {"",
                                        "path=visits",
                                        "path=/visits&priority=8",
                                        "path=/visits&priority=1x",
                                        "path=/visits&nested=yes",
                                        "path=/visits&method=G%20T",
                                        "path=/visits&data_centre=east",
                                        "path=/visits&data_centre=No%0Arth",
                                        "path=/visits&workspace=W%0A",
                                        "path=/visits&path=/other",
                                        "path=/visits&datacentre=north"}) {
            checkProblem(query, 400, "invalid");
        }
        STRCMP_CONTAINS("no parameter datacentre", ask("path=/visits&datacentre=north")->body.c_str());
        STRCMP_CONTAINS("a parameter is unknown", ask("path=/visits&x%1B%5B2J=1")->body.c_str());
    });
    section("with another method than GET", [&] { LONGS_EQUAL(405, ask("path=/visits", "token", "POST")->status); });
    section("without the token", [&] { LONGS_EQUAL(401, ask("path=/visits", "other")->status); });
}

// Guards against an answer that leaves out a service of a split route, or that takes part in what it explains.
TEST(AnOperatorAsksForARoute, andGetsTheDecisionForEachService)
{
    catalogue = std::make_shared<const config::Catalogue>(configuration());
    section("of a request without a workspace", [&] {
        const boost::json::value answer = explained("path=%2Fvisits%2F1%3Fq%3D1&method=POST");
        STRCMP_EQUAL("visit", answer.at("route").as_string().c_str());
        LONGS_EQUAL(3, answer.at("priority").as_int64());
        LONGS_EQUAL(2000, answer.at("time_limit_ms").as_int64());
        CHECK_TRUE(answer.at("limit").is_null());
        DOUBLES_EQUAL(0, answer.at("shed_share").to_number<double>(), 0);
        LONGS_EQUAL(2, answer.at("services").as_array().size());
        const boost::json::value &former = answer.at("services").at(0);
        DOUBLES_EQUAL(0.75, former.at("share").to_number<double>(), 1e-9);
        STRCMP_EQUAL("load", former.at("policy").as_string().c_str());
        LONGS_EQUAL(2, former.at("compared").as_int64());
        STRCMP_EQUAL("old-north", former.at("chosen").as_string().c_str());
        STRCMP_EQUAL("old-south", former.at("best_remote").as_string().c_str());
        const boost::json::value &next = answer.at("services").at(1);
        STRCMP_EQUAL("draining", next.at("endpoints").at(0).at("reason").as_string().c_str());
        CHECK_TRUE(next.at("best_local").is_null());
        STRCMP_EQUAL("new-south", next.at("chosen").as_string().c_str());
    });
    section("of a workspace, with the limit in force and its priority", [&] {
        const boost::json::value answer = explained("path=/visits&workspace=w");
        LONGS_EQUAL(6, answer.at("priority").as_int64());
        DOUBLES_EQUAL(50, answer.at("limit").at("rate").to_number<double>(), 0);
        DOUBLES_EQUAL(27, answer.at("limit").at("burst").to_number<double>(), 0);
        CHECK_TRUE(explained("path=/visits&workspace=w&nested=true").at("limit").is_null());
        limitSettings.areControlsOn = false;
        CHECK_TRUE(explained("path=/visits&workspace=w").at("limit").is_null());
    });
    section("with another priority, as a nested call and in another data centre", [&] {
        const boost::json::value answer = explained("path=/visits&priority=1&nested=true&data_centre=south");
        LONGS_EQUAL(1, answer.at("priority").as_int64());
        CHECK_TRUE(answer.at("nested").as_bool());
        STRCMP_EQUAL("old-south", answer.at("services").at(0).at("chosen").as_string().c_str());
    });
    section("with the share that is shed over all services, and none of a nested call", [&] {
        shedShares = {{"old", 0.4}, {"new", 0.8}};
        const boost::json::value answer = explained("path=/visits");
        DOUBLES_EQUAL(0.8, answer.at("services").at(1).at("shed_share").to_number<double>(), 1e-9);
        DOUBLES_EQUAL(0.75 * 0.4 + 0.25 * 0.8, answer.at("shed_share").to_number<double>(), 1e-9);
        DOUBLES_EQUAL(0, explained("path=/visits&nested=true").at("shed_share").to_number<double>(), 0);
    });
    LONGS_EQUAL(0, drawn);
}

// Guards against an answer that leaves out what the dispatcher alone has learned from responses.
TEST(AnOperatorAsksForARoute, andSeesTheLevelThatAnEndpointHasReported)
{
    catalogue = std::make_shared<const config::Catalogue>(configuration());
    asio::io_context context;
    const wire::CallRequest call({.service = core::ServiceId("old"), .priority = 3, .remaining = 1s});
    asio::co_spawn(context, dispatcher.dispatch(call), asio::detached);
    context.run();
    const auto formerOf = [&](const std::string &query) { return explained(query).at("services").at(0); };
    const boost::json::value former = formerOf("path=/visits");
    STRCMP_EQUAL("level-not-admitted", former.at("endpoints").at(0).at("reason").as_string().c_str());
    STRCMP_EQUAL("old-south", former.at("chosen").as_string().c_str());
    for (const std::string query : {"path=/visits&priority=5", "path=/visits&nested=true"}) {
        STRCMP_EQUAL("old-north", formerOf(query).at("chosen").as_string().c_str());
    }
}
