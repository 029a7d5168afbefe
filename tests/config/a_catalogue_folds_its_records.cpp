#include "config/records.h"
#include "support/section.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using config::Catalogue;
using config::ResourceType;
using config::Verdict;
using config::VoidReason;
using test::checkProperty;
using test::deleteRecord;
using test::keyBody;
using test::putRecord;
using test::section;

namespace {

/** Generates records over few names, so that conflicts, references, withdrawals and duplicates are frequent. */
std::string anyRecord()
{
    const auto operation = "op-" + std::to_string(*rc::gen::inRange(0, 60));
    const auto name = "n" + std::to_string(*rc::gen::inRange(0, 3));
    const auto expected = *rc::gen::maybe(rc::gen::inRange<core::Offset>(0, 12));
    const auto type = *rc::gen::elementOf(std::vector(config::ResourceTypes.begin(), config::ResourceTypes.end()));
    const auto version = expected ? std::optional<core::Offset>(*expected) : std::nullopt;
    if (*rc::gen::inRange(0, 3) == 0) {
        return deleteRecord(operation, type, name, version);
    }
    switch (type) {
    case ResourceType::Workspace:
        return putRecord(operation, type, name, "{}", version);
    case ResourceType::Key:
        return putRecord(operation, type, name, keyBody("n0", std::to_string(*rc::gen::inRange(0, 4))), version);
    case ResourceType::Limit:
        return putRecord(operation, type, name, R"({"workspace":"n1","rate":5,"burst":9})", version);
    case ResourceType::Priority:
        return putRecord(operation, type, name, R"({"level":2})", version);
    case ResourceType::RequestLimits:
        return putRecord(operation, type, "default", R"({"idle_timeout_ms":7})", version);
    case ResourceType::Service:
        return putRecord(operation, type, name, R"({"cold_rate":16})", version);
    case ResourceType::Evacuation:
        return putRecord(operation, type, name, "{}", version);
    case ResourceType::Route:
        break;
    }
    return putRecord(operation, type, name, R"({"prefix":"/x","service":"s","priority":"n2"})", version);
}

std::vector<std::string> anyRecords()
{
    return *rc::gen::container<std::vector<std::string>>(rc::gen::exec(anyRecord));
}

void checkVoid(const Catalogue &catalogue, const std::string &record, VoidReason reason)
{
    const auto result = catalogue.withRecord(catalogue.appliedOffset(), record);
    CHECK_TRUE(result.verdict == Verdict::Void);
    STRCMP_EQUAL(std::string(toString(reason)).c_str(), std::string(toString(result.reason)).c_str());
    LONGS_EQUAL(catalogue.appliedOffset() + 1, result.catalogue.appliedOffset());
}

const config::Route *routeOf(const Catalogue &catalogue, const std::string &path)
{
    return catalogue.findRoute("any.example", path);
}

}

TEST_GROUP(ACatalogueFoldsItsRecords){};

TEST(ACatalogueFoldsItsRecords, withOneWinnerAmongRacingWriters)
{
    checkProperty("exactly the first of several concurrent writers is accepted, on all nodes", [] {
        std::vector<int> writers(*rc::gen::inRange<std::size_t>(2, 8));
        for (std::size_t i = 0; i < writers.size(); ++i) {
            writers[i] = static_cast<int>(i);
        }
        auto catalogue =
            test::folded(test::startedCatalogue(), {putRecord("base", ResourceType::Priority, "p", R"({"level":0})")});
        const auto order = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
        for (std::size_t i = 0; i < order.size(); ++i) {
            std::swap(writers[i % writers.size()], writers[order[i] % writers.size()]);
        }
        std::vector<Verdict> verdicts;
        for (const int writer : writers) {
            const auto body = R"({"level":1,"worth":)" + std::to_string(writer) + "}";
            const auto record = putRecord("w" + std::to_string(writer), ResourceType::Priority, "p", body, 1);
            auto result = catalogue.withRecord(catalogue.appliedOffset(), record);
            verdicts.push_back(result.verdict);
            catalogue = result.catalogue;
        }
        RC_ASSERT(std::count(verdicts.begin(), verdicts.end(), Verdict::Accepted) == 1);
        RC_ASSERT(verdicts.front() == Verdict::Accepted);
        RC_ASSERT((*catalogue.findPriority(config::PriorityId("p")))->worth == writers.front());
    });
}

TEST(ACatalogueFoldsItsRecords, toTheSameResultByAnyWay)
{
    checkProperty("folding a snapshot and the records after it equals folding all records", [] {
        const auto records = anyRecords();
        const auto cut = static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, records.size() + 1));
        const std::vector<std::string> head(records.begin(), records.begin() + cut);
        const std::vector<std::string> tail(records.begin() + cut, records.end());
        const auto snapshot = Catalogue::fromJson(test::folded(Catalogue(), head).toJson());
        RC_ASSERT(snapshot.has_value());
        RC_ASSERT(test::folded(*snapshot, tail).toJson() == test::folded(Catalogue(), records).toJson());
    });
    checkProperty("a duplicate of an operation changes nothing", [] {
        const auto records = anyRecords();
        RC_PRE(!records.empty());
        const auto all = test::folded(test::startedCatalogue(), records);
        const auto again = *rc::gen::elementOf(records);
        const auto result = all.withRecord(all.appliedOffset(), again);
        RC_ASSERT(result.reason == VoidReason::Duplicate);
        for (const auto type : config::ResourceTypes) {
            RC_ASSERT(result.catalogue.list(type) == all.list(type));
        }
    });
    checkProperty("folding does not modify the catalogue that it starts from", [] {
        const auto before = test::folded(test::startedCatalogue(), anyRecords());
        const auto text = before.toJson();
        (void)test::folded(before, anyRecords());
        RC_ASSERT(before.toJson() == text);
    });
}

TEST(ACatalogueFoldsItsRecords, andNeverAcceptsAWithdrawnDigestAgain)
{
    auto catalogue = test::folded(test::startedCatalogue(),
                                  {putRecord("w", ResourceType::Workspace, "abay", "{}"),
                                   putRecord("k", ResourceType::Key, "k1", keyBody("abay", "secret"))});
    const auto digest = core::sha256("secret");
    section("a key is found by its digest", [&] {
        STRCMP_EQUAL("abay", (*catalogue.findKey(digest))->workspace.value().c_str());
        checkVoid(catalogue, putRecord("x", ResourceType::Key, "k1", keyBody("abay", "new")), VoidReason::DigestFixed);
        checkVoid(
            catalogue, putRecord("x", ResourceType::Key, "k2", keyBody("abay", "secret")), VoidReason::DigestInUse);
    });
    section("a withdrawal by digest takes effect even if another key has the name meanwhile", [&] {
        const auto body = R"({"digest":")" + core::sha256("older").toHex() + "\"}";
        catalogue = test::folded(catalogue, {deleteRecord("d", ResourceType::Key, "k1", {}, body)});
        CHECK_TRUE(catalogue.isWithdrawn(core::sha256("older")));
        CHECK_TRUE(catalogue.findKey(digest) != nullptr);
    });
    section("a withdrawal by name withdraws the digest of the key", [&] {
        catalogue = test::folded(catalogue, {deleteRecord("e", ResourceType::Key, "k1")});
        CHECK_TRUE(catalogue.isWithdrawn(digest));
        POINTERS_EQUAL(nullptr, catalogue.findKey(digest));
    });
    section("a withdrawn digest is never accepted again, even after a snapshot", [&] {
        const auto again = putRecord("f", ResourceType::Key, "k1", keyBody("abay", "secret"));
        checkVoid(catalogue, again, VoidReason::DigestWithdrawn);
        checkVoid(*Catalogue::fromJson(catalogue.toJson()), again, VoidReason::DigestWithdrawn);
    });
}

TEST(ACatalogueFoldsItsRecords, andKeepsReferencesWhole)
{
    auto catalogue = test::folded(test::startedCatalogue(),
                                  {putRecord("w", ResourceType::Workspace, "abay", "{}"),
                                   putRecord("p", ResourceType::Priority, "high", R"({"level":6})")});
    const std::string limit = R"({"workspace":"abay","rate":100,"burst":)";
    section("a referenced resource must exist", [&] {
        checkVoid(
            catalogue, putRecord("x", ResourceType::Key, "k", keyBody("nobody", "s")), VoidReason::MissingReference);
        checkVoid(catalogue,
                  putRecord("x", ResourceType::Route, "r", R"({"prefix":"/","service":"s","priority":"low"})"),
                  VoidReason::MissingReference);
    });
    section("the newest limit of a workspace applies, and after its deletion the older one", [&] {
        catalogue = test::folded(catalogue,
                                 {putRecord("a", ResourceType::Limit, "old", limit + "10}"),
                                  putRecord("b", ResourceType::Limit, "new", limit + "20}")});
        DOUBLES_EQUAL(20, (*catalogue.findLimit(core::WorkspaceId("abay")))->burst, 0);
        const auto less = test::folded(catalogue, {deleteRecord("c", ResourceType::Limit, "new")});
        DOUBLES_EQUAL(10, (*less.findLimit(core::WorkspaceId("abay")))->burst, 0);
    });
    section("a resource in use is not deleted", [&] {
        catalogue = test::folded(
            catalogue, {putRecord("r", ResourceType::Route, "r", R"({"prefix":"/","service":"s","priority":"high"})")});
        checkVoid(catalogue, deleteRecord("x", ResourceType::Workspace, "abay"), VoidReason::InUse);
        checkVoid(catalogue, deleteRecord("x", ResourceType::Priority, "high"), VoidReason::InUse);
        catalogue = test::folded(catalogue, {deleteRecord("s", ResourceType::Route, "r")});
        CHECK_TRUE(
            catalogue.withRecord(catalogue.appliedOffset(), deleteRecord("t", ResourceType::Priority, "high")).verdict
            == Verdict::Accepted);
    });
}

TEST(ACatalogueFoldsItsRecords, andFindsRoutes)
{
    const auto route = [](const std::string &name, const std::string &prefix) {
        return putRecord(
            name, ResourceType::Route, name, R"({"service":"s","priority":"p","prefix":")" + prefix + "\"}");
    };
    auto catalogue = test::folded(test::startedCatalogue(),
                                  {putRecord("p", ResourceType::Priority, "p", R"({"level":1})"),
                                   route("visits", "/visits"),
                                   route("history", "/visits/history")});
    section("by the longest prefix that ends at a segment boundary", [&] {
        STRCMP_EQUAL("visits", (*routeOf(catalogue, "/visits/1?q=/x"))->name.value().c_str());
        STRCMP_EQUAL("history", (*routeOf(catalogue, "/visits/history"))->name.value().c_str());
        STRCMP_EQUAL("history",
                     (*routeOf(catalogue, "/visits/history/" + std::string(5000, 'a')))->name.value().c_str());
        POINTERS_EQUAL(nullptr, routeOf(catalogue, "/visitsx"));
        POINTERS_EQUAL(nullptr, routeOf(catalogue, "/"));
    });
    section("never for a path that a server may resolve to another one, because that could bypass the key", [&] {
        catalogue = test::folded(catalogue, {route("all", "/")});
        STRCMP_EQUAL("all", (*routeOf(catalogue, "/other/"))->name.value().c_str());
        STRCMP_EQUAL("visits", (*routeOf(catalogue, "/%76isits"))->name.value().c_str());
        for (const char *path : {"/a/../visits",
                                 "/a/%2e%2E/visits",
                                 "//visits",
                                 "/a%2fvisits",
                                 "/a\\visits",
                                 "/a/..;/visits",
                                 "visits",
                                 "",
                                 "/%",
                                 "/%0",
                                 "/%zz",
                                 "/a/."}) {
            POINTERS_EQUAL_TEXT(nullptr, routeOf(catalogue, path), path);
        }
    });
    section("two routes cannot have the same prefix",
            [&] { checkVoid(catalogue, route("twin", "/visits"), VoidReason::PrefixInUse); });
}
