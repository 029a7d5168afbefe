#include "berylspring/node/settings.h"
#include "support/section.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using node::SettingSource;
using test::section;

namespace {

const std::string WithoutSecret =
    "[node]\nhost=a1\ndata_centre=a\naddress=127.0.0.1\n"
    "[operator]\ntoken_digest=9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n"
    "[platform]\nlog=127.0.0.1:9000\n[fleet]\ndata_centres=a, b\n";
const std::string Minimal = WithoutSecret + "secret=0123456789abcdef\n";

node::SettingsDocument parsed(const std::string &text, const std::vector<std::string> &variables)
{
    const auto document = node::parseDocument(text, node::settingsEnvironment(variables));
    CHECK(document.has_value());
    return *document;
}

std::string refusal(const std::string &text, const std::vector<std::string> &variables)
{
    const auto document = node::parseDocument(text, node::settingsEnvironment(variables));
    CHECK_FALSE(document.has_value());
    return document.error().detail();
}

node::EffectiveSetting effective(const node::SettingsDocument &document, const std::string &name)
{
    const auto &all = document.effective;
    const auto found = std::find_if(all.begin(), all.end(), [&](const auto &setting) { return setting.name == name; });
    CHECK(found != all.end());
    return *found;
}

}

TEST_GROUP(SettingsFromTheEnvironment){};

// Guards against bounds of the deployment that never reach the process, because its file cannot be given new fields.
TEST(SettingsFromTheEnvironment, fillInWhatTheFileLeavesOut)
{
    const std::vector<std::string> variables{"HOME=/", "BERYLSPRING_BOUNDS_COLD_EXCESS= 1.5 "};
    section("a variable counts where the file has no value, and its source is told", [&] {
        const node::SettingsDocument document = parsed(Minimal, variables);
        DOUBLES_EQUAL(1.5, *document.settings->bounds->coldExcess, 0);
        CHECK(effective(document, "bounds.cold_excess")
              == (node::EffectiveSetting{"bounds.cold_excess", "1.5", SettingSource::Environment}));
    });
    section("the file goes before it", [&] {
        const node::SettingsDocument document = parsed(Minimal + "[bounds]\ncold_excess=3\n", variables);
        DOUBLES_EQUAL(3, *document.settings->bounds->coldExcess, 0);
        CHECK(effective(document, "bounds.cold_excess").source == SettingSource::File);
    });
    section("other times follow from a bound in a variable", [] {
        const node::SettingsDocument document = parsed(Minimal, {"BERYLSPRING_BOUNDS_STOP_GRACE_MS=6000"});
        CHECK(document.settings->stopTimeout < std::chrono::seconds(6));
        CHECK(effective(document, "node.stop_timeout_ms").source == SettingSource::Bound);
    });
    section("a field of the template without a value sets nothing", [] {
        CHECK(parsed(Minimal, {"BERYLSPRING_BOUNDS_COLD_EXCESS=", "BERYLSPRING_NODE_THREADS=  "})
              == parsed(Minimal, {}));
    });
    section("each setting has a variable of its own", [] {
        std::set<std::string> names;
        const node::SettingsDocument document = parsed(Minimal, {});
        for (const node::EffectiveSetting &setting : document.effective) {
            names.insert(node::settingsVariable(setting.name));
        }
        LONGS_EQUAL(document.effective.size(), names.size());
    });
}

// Guards against an error that sends the operator to the file, although the value is in the environment.
TEST(SettingsFromTheEnvironment, nameTheVariableOfAWrongValue)
{
    section("a value out of range", [] {
        STRCMP_EQUAL(
            "setting ports.caller = \"70000\": must be a number from 0 to 65535"
            " (from the environment: BERYLSPRING_PORTS_CALLER)",
            refusal(Minimal, {"BERYLSPRING_PORTS_CALLER=70000"}).c_str());
    });
    section("a value of the file that breaks a bound in a variable", [] {
        const std::string text = Minimal + "[limits]\nburst_tolerance=21\n";
        STRCMP_CONTAINS("(from the environment: BERYLSPRING_BOUNDS_LIMIT_EXCESS_REQUESTS)",
                        refusal(text, {"BERYLSPRING_BOUNDS_LIMIT_EXCESS_REQUESTS=20"}).c_str());
    });
    section("a wrong value of the file, which no variable replaces or is blamed for", [] {
        const std::string detail = refusal(Minimal + "[ports]\ncaller=70000\n", {"BERYLSPRING_PORTS_CALLER=7000"});
        CHECK(detail.find("BERYLSPRING") == std::string::npos);
    });
}

// Guards against a start that fails because of a variable of another program, and against a misspelt one that nobody
// notices.
TEST(SettingsFromTheEnvironment, reportUnknownVariablesWithoutTheirValues)
{
    const node::SettingsDocument document = parsed(Minimal,
                                                   {"BERYLSPRING_TOKEN=t",
                                                    "BERYLSPRING_CONFIG=/etc/c",
                                                    "BERYLSPRING_FLEET_SECRETS=fedcba9876543210",
                                                    "BERYLSPRING_NODE_THREADS=3"});
    LONGS_EQUAL(3, document.settings->threads);
    CHECK(document.unknownVariables == std::vector<std::string>{"BERYLSPRING_FLEET_SECRETS"});
}

// Guards against secrets in logs, and against a fleet whose secret depends on the environment of one host.
TEST(SettingsFromTheEnvironment, keepSecrets)
{
    section("a secret in a variable is used and not told", [] {
        const node::SettingsDocument document = parsed(WithoutSecret, {"BERYLSPRING_FLEET_SECRET=fedcba9876543210"});
        STRCMP_EQUAL("fedcba9876543210", document.settings->secret.c_str());
        CHECK(effective(document, "fleet.secret")
              == (node::EffectiveSetting{"fleet.secret", "...", SettingSource::Environment}));
    });
    section("one that is too short is not printed, but its variable is named", [] {
        const std::string detail = refusal(WithoutSecret, {"BERYLSPRING_FLEET_SECRET=short-secret"});
        CHECK(detail.find("short-secret") == std::string::npos);
        STRCMP_CONTAINS("BERYLSPRING_FLEET_SECRET", detail.c_str());
    });
    section("the secret of the file goes before a secret file that a variable names", [] {
        const node::SettingsDocument document = parsed(Minimal, {"BERYLSPRING_FLEET_SECRET_FILE=/nowhere"});
        STRCMP_EQUAL("0123456789abcdef", document.settings->secret.c_str());
        CHECK(document.unknownVariables.empty());
    });
    section("a secret file that cannot be read is reported with its variable", [] {
        STRCMP_EQUAL("cannot read /nowhere (from the environment: BERYLSPRING_FLEET_SECRET_FILE)",
                     refusal(WithoutSecret, {"BERYLSPRING_FLEET_SECRET_FILE=/nowhere"}).c_str());
    });
}

// Guards against a reload that drops the variables and reports that a restart is needed.
TEST(SettingsFromTheEnvironment, stayAfterAReload)
{
    const std::string path =
        (std::filesystem::temp_directory_path() / ("settings-" + std::to_string(::getpid()) + ".ini")).string();
    const auto write = [&](const std::string &text) { std::ofstream(path) << text; };
    const auto environment =
        node::settingsEnvironment({"BERYLSPRING_BOUNDS_COLD_SLACK_REQUESTS=4", "BERYLSPRING_LOG_LEVEL=warning"});
    write(Minimal);
    const auto before = node::loadSettings(path, environment);
    CHECK(before.has_value());
    CHECK((*before)->logLevel == telemetry::Severity::Warning);
    section("the file now has a log level, and nothing else has changed", [&] {
        write(Minimal + "[log]\nlevel=debug\n");
        const auto after = node::loadSettings(path, environment);
        CHECK(after.has_value());
        CHECK((*after)->logLevel == telemetry::Severity::Debug);
        LONGS_EQUAL(4, *(*after)->bounds->coldSlack);
        CHECK(after->with(&node::SettingsFields::logLevel, (*before)->logLevel) == *before);
    });
    section("the file loses it again, so that the variable counts", [&] {
        write(Minimal);
        CHECK(node::loadSettings(path, environment) == before);
    });
    std::remove(path.c_str());
}
