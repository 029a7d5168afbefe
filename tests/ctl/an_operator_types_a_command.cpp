#include "berylspring/ctl/commands.h"
#include "berylspring/ctl/options.h"
#include "berylspring/ctl/table.h"
#include "berylspring/http/explain_json.h"
#include "berylspring/http/messages.h"
#include "support/section.h"

#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;

TEST_GROUP(AnOperatorTypesACommand){};

TEST(AnOperatorTypesACommand, andItIsParsed)
{
    const auto options = ctl::parseOptions({"key", "create", "k1", "--workspace", "w1", "--wait", "5", "-o", "json"});
    CHECK(options.has_value());
    const std::vector<std::string> expected{"key", "create", "k1"};
    CHECK(options->command == expected);
    CHECK(options->workspace == "w1");
    LONGS_EQUAL(5, options->waitSeconds);
    CHECK(options->output == ctl::OutputFormat::Json);
}

TEST(AnOperatorTypesACommand, andAMistakeIsExplained)
{
    section("an unknown option", [] { CHECK_FALSE(ctl::parseOptions({"list", "--frm", "3"}).has_value()); });
    section("an unknown output format", [] {
        STRCMP_CONTAINS("must be table or json", ctl::parseOptions({"list", "-o", "xml"}).error().c_str());
    });
    section("an unknown command, and a missing workspace, path or data centre, end in a usage error", [] {
        for (const std::vector<std::string> &words :
             {std::vector<std::string>{"lst"}, {"key", "create", "k1"}, {"explain"}, {"evacuate"}, {"return"}}) {
            std::ostringstream out;
            std::ostringstream err;
            CHECK(ctl::runCommand(ctl::parseOptions(words).value(), out, err) == ctl::ExitCode::Usage);
            CHECK(!err.str().empty());
        }
    });
    section("a node that does not answer", [] {
        std::ostringstream out;
        std::ostringstream err;
        const auto options = ctl::parseOptions({"list", "keys", "--address", "127.0.0.1:1"});
        CHECK(ctl::runCommand(*options, out, err) == ctl::ExitCode::Unavailable);
    });
}

TEST(AnOperatorTypesACommand, andTheAnswerIsLaidOut)
{
    const std::string table = ctl::toTable(R"({"items":[{"version":3,"name":"a"},{"name":"longer","extra":[1]}]})");
    STRCMP_EQUAL("name    version  extra\na       3        -\nlonger  -        [1]\n", table.c_str());
    checkProperty("any text yields some output",
                  [](const std::string &text) { RC_ASSERT(!ctl::toTable(text).empty()); });
}

// Guards against a path or host whose characters change the question.
TEST(AnOperatorTypesACommand, andARequestIsExplained)
{
    const auto options = ctl::parseOptions(
        {"explain", "--path", "/visits/1?a=b&c", "--workspace", "w", "--data-centre", "north", "--nested"});
    const std::string target = ctl::explainTarget(options.value());
    STRCMP_EQUAL("/visits/1?a=b&c", http::queryParameter(target, "path").c_str());
    STRCMP_EQUAL("GET", http::queryParameter(target, "method").c_str());
    STRCMP_EQUAL("w", http::queryParameter(target, "workspace").c_str());
    STRCMP_EQUAL("north", http::queryParameter(target, "data_centre").c_str());
    STRCMP_EQUAL("true", http::queryParameter(target, "nested").c_str());
    section("the node reads each character of the path as it was typed", [] {
        const std::string path = "/a+b c%2F#d?e=f&g";
        const auto typed = ctl::parseOptions({"explain", "--path", path});
        const auto question = http::parseExplainQuestion(ctl::explainTarget(typed.value()));
        CHECK_TRUE(question.has_value());
        STRCMP_EQUAL(path.c_str(), question->path.c_str());
    });
    section("the endpoints of each service are a table of their own", [] {
        const std::string table = ctl::explanationTable(
            R"({"route":"r","limit":{"rate":1.23456E5},"services":[{"service":"s","endpoints":[{"eligible":true,"host":"a","score":4.9768530669E-1}]},)"
            R"({"service":"t","endpoints":[]}]})");
        STRCMP_EQUAL(
            "route       r\nlimit.rate  123456\n\nservice  s\n\n"
            "host  eligible  score\na     true      0.4977\n\nservice  t\n",
            table.c_str());
    });
}
