#include "berylspring/node/settings.h"
#include "support/section.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using test::checkProperty;
using test::section;

namespace {

const std::string Minimal =
    "[node]\nhost=a1\ndata_centre=a\naddress=127.0.0.1\n"
    "[fleet]\ndata_centres=a, b\nsecret=0123456789abcdef\n"
    "[operator]\ntoken_digest=9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n"
    "[platform]\nlog=127.0.0.1:9000\n";

void checkRefused(const std::string &text, const std::string &expectedName)
{
    const auto settings = node::parseSettings(text);
    CHECK_FALSE(settings.has_value());
    STRCMP_CONTAINS(expectedName.c_str(), settings.error().detail().c_str());
}

}

TEST_GROUP(SettingsThatAreChecked){};

TEST(SettingsThatAreChecked, fillInDefaults)
{
    const auto settings = node::parseSettings(Minimal);
    CHECK(settings.has_value());
    LONGS_EQUAL(2, (*settings)->threads);
    LONGS_EQUAL(2, (*settings)->dataCentres.size());
    CHECK((*settings)->areControlsOn);
}

TEST(SettingsThatAreChecked, nameTheWrongSettingInsteadOfStartingWithIt)
{
    section("a value out of range",
            [] { checkRefused(Minimal + "[ports]\ncaller=70000\n", "ports.caller = \"70000\""); });
    section("a value that is not a number",
            [] { checkRefused(Minimal + "[limits]\nmax_hold_ms=soon\n", "limits.max_hold_ms"); });
    section("an unknown name", [] { checkRefused(Minimal + "[ports]\ncallers=1\n", "unknown setting ports.callers"); });
    section("an unknown section", [] { checkRefused(Minimal + "[port]\ncaller=1\n", "unknown setting port.caller"); });
    section("a missing host", [] { checkRefused("[fleet]\ndata_centres=a\n", "node.host"); });
    section("a data centre that is not declared", [] {
        std::string text = Minimal;
        text.replace(text.find("data_centres=a, b"), 17, "data_centres=b, c");
        checkRefused(text, "fleet.data_centres");
    });
    section("a secret that is too short, without printing it", [] {
        std::string text = Minimal;
        text.replace(text.find("0123456789abcdef"), 16, "short-secret");
        checkRefused(text, "fleet.secret");
        const auto settings = node::parseSettings(text);
        CHECK(settings.error().detail().find("short-secret") == std::string::npos);
    });
}

TEST(SettingsThatAreChecked, endInAValueOrAnErrorForAnyText)
{
    checkProperty("no text makes the parser throw", [](const std::string &text) {
        const auto settings = node::parseSettings(text);
        RC_ASSERT(!settings.has_value());
        RC_ASSERT(!settings.error().detail().empty());
    });
}
