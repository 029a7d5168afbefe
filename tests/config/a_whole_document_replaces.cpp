#include "config/records.h"
#include "support/section.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using config::Catalogue;
using config::ResourceType;
using config::Verdict;
using test::keyBody;
using test::putRecord;
using test::section;

namespace {

config::Resource resource(ResourceType type, const std::string &name, const std::string &body)
{
    return config::parseResource(type, name, body).value();
}

std::string replacement(const std::string &operation, std::vector<config::Resource> resources)
{
    return config::toJson(config::LogRecord(
        {.operationId = operation, .kind = config::RecordKind::Replace, .resources = std::move(resources)}));
}

config::Resource priority(const std::string &name)
{
    return resource(ResourceType::Priority, name, R"({"level":3})");
}

config::Resource route(const std::string &name, const std::string &members)
{
    return resource(ResourceType::Route, name, R"({"priority":"p",)" + members + "}");
}

std::string serviceOf(const Catalogue &catalogue, const std::string &host, const std::string &path)
{
    const config::Route *found = catalogue.findRoute(host, path);
    return found == nullptr ? "none" : (*found)->services.front().service.value();
}

}

TEST_GROUP(AWholeDocumentReplaces){};

// Guards against resources that stay in force although the new document does not contain them.
TEST(AWholeDocumentReplaces, allThatWasThere)
{
    const Catalogue before = test::folded(test::startedCatalogue(),
                                          {putRecord("op-1", ResourceType::Workspace, "w", "{}"),
                                           putRecord("op-2", ResourceType::Key, "k", keyBody("w", "secret"))});
    CHECK_TRUE(before.findKey(core::sha256("secret")) != nullptr);
    const auto result =
        before.withRecord(9, replacement("op-3", {priority("p"), route("r", R"("prefix":"/x","service":"s")")}));
    CHECK_TRUE(result.verdict == Verdict::Accepted);
    CHECK_TRUE(result.catalogue.findKey(core::sha256("secret")) == nullptr);
    LONGS_EQUAL(2, result.catalogue.resourceCount());
    LONGS_EQUAL(10, result.catalogue.appliedOffset());
    section("a snapshot preserves the replacement", [&] {
        const auto copy = Catalogue::fromJson(result.catalogue.toJson());
        STRCMP_EQUAL("s", serviceOf(*copy, "", "/x/1").c_str());
        STRCMP_EQUAL(result.catalogue.toJson().c_str(), copy->toJson().c_str());
    });
    section("a document with a missing reference has no effect", [&] {
        const auto bad =
            result.catalogue.withRecord(11, replacement("op-4", {route("r", R"("prefix":"/y","service":"t")")}));
        CHECK_TRUE(bad.verdict == Verdict::Void);
        STRCMP_EQUAL("s", serviceOf(bad.catalogue, "", "/x/1").c_str());
    });
    section("a malformed document has no effect", [&] {
        const auto bad = result.catalogue.withRecord(11, R"({"operation_id":"op-5","kind":"replace","resources":[7]})");
        CHECK_TRUE(bad.verdict == Verdict::Malformed);
        STRCMP_EQUAL("s", serviceOf(bad.catalogue, "", "/x/1").c_str());
    });
}

// Guards against a request that is routed to the service of another host.
TEST(AWholeDocumentReplaces, routesOfSeveralHosts)
{
    const auto result =
        Catalogue().withRecord(3,
                               replacement("op-1",
                                           {priority("p"),
                                            route("a", R"("host":"a.example","prefix":"/x","service":"sa")"),
                                            route("b", R"("host":"b.example","prefix":"/x","service":"sb")"),
                                            route("c", R"("host":"b.example","prefix":"/x/y","service":"sc")"),
                                            route("d", R"("prefix":"/x","service":"any")")}));
    STRCMP_EQUAL("sa", serviceOf(result.catalogue, "A.example:80", "/x/1").c_str());
    STRCMP_EQUAL("sb", serviceOf(result.catalogue, "b.example", "/x/1").c_str());
    STRCMP_EQUAL("sc", serviceOf(result.catalogue, "b.example", "/x/y/1").c_str());
    STRCMP_EQUAL("any", serviceOf(result.catalogue, "c.example", "/x/y").c_str());
    STRCMP_EQUAL("none", serviceOf(result.catalogue, "a.example", "/z").c_str());
}

TEST(AWholeDocumentReplaces, aRouteMayHaveSeveralServices)
{
    const auto isInvalid = [](const std::string &body) {
        return !config::parseResource(ResourceType::Route, "r", body).has_value();
    };
    CHECK_TRUE(isInvalid(R"({"prefix":"/x","priority":"p","split":[]})"));
    CHECK_TRUE(isInvalid(R"({"prefix":"/x","priority":"p","split":[{"service":"s","weight":0}]})"));
    CHECK_TRUE(isInvalid(R"({"prefix":"/x","priority":"p","split":[{"service":"s"}]})"));
    CHECK_TRUE(isInvalid(R"({"prefix":"/x","priority":"p","service":"s","host":"a/b"})"));
    const auto split = route("r", R"("prefix":"/x","split":[{"service":"s","weight":9},{"service":"t","weight":1}])");
    LONGS_EQUAL(2, std::get<config::Route>(split)->services.size());
}
