#include "berylspring/http/operator_api.h"
#include "support/section.h"

#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::section;

namespace {

namespace asio = boost::asio;
using WriteResult = config::Result<config::WriteOutcome>;

asio::awaitable<WriteResult> recorded(std::vector<std::string> &writes, std::string write)
{
    writes.push_back(std::move(write));
    co_return config::WriteOutcome{.change = 7};
}

}

TEST_GROUP(AnOperatorEvacuatesADataCentre)
{
    std::vector<std::string> writes;
    http::OperatorApi api{hooks()};

    http::OperatorHooks hooks()
    {
        http::OperatorHooks hooks;
        hooks.tokenDigest = core::sha256("token");
        hooks.put = [this](config::ResourceType, const std::string &name, const std::string &json, auto) {
            return recorded(writes, "put " + name + " " + json);
        };
        hooks.remove = [this](config::ResourceType, const std::string &name, auto) {
            return recorded(writes, "delete " + name);
        };
        hooks.isDeclared = [](const core::DataCentreId &name) { return name.value() == "north"; };
        hooks.nodes = [] {
            return std::vector<http::NodeStatus>{
                {.host = core::HostId("h1"), .dataCentre = core::DataCentreId("north"), .isEvacuated = true}};
        };
        return hooks;
    }

    http::Response ask(const std::string &method, const std::string &target, const std::string &body = {})
    {
        asio::io_context context;
        std::optional<http::Reply> reply;
        asio::co_spawn(
            context,
            api.handle(http::Request(
                {.method = method, .target = target, .headers = {{"Authorization", "Bearer token"}}, .body = body})),
            [&](const std::exception_ptr &, http::Reply value) { reply = std::move(value); });
        context.run();
        return std::get<http::Response>(reply.value());
    }
};

// Guards against a mistyped name that is accepted and empties no data centre.
TEST(AnOperatorEvacuatesADataCentre, byItsName)
{
    section("a data centre of the fleet", [&] {
        LONGS_EQUAL(200, ask("PUT", "/v1/evacuations/north", "{}")->status);
        LONGS_EQUAL(200, ask("DELETE", "/v1/evacuations/north")->status);
        CHECK_TRUE(writes == (std::vector<std::string>{"put north {}", "delete north"}));
    });
    section("one that is not declared is refused with its name", [&] {
        for (const std::string name : {"nroth", "No%20Name"}) {
            const http::Response response = ask("PUT", "/v1/evacuations/" + name, "{}");
            LONGS_EQUAL(400, response->status);
            STRCMP_CONTAINS(("the data centre " + name + " is not declared").c_str(), response->body.c_str());
        }
        LONGS_EQUAL(2, writes.size());
    });
    section("it can still be deleted, after the declared data centres have changed",
            [&] { LONGS_EQUAL(200, ask("DELETE", "/v1/evacuations/former")->status); });
    section("the nodes show the evacuation",
            [&] { STRCMP_CONTAINS(R"("evacuated":true)", ask("GET", "/v1/nodes")->body.c_str()); });
}
