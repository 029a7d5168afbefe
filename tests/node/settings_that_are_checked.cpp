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
    // On where an entry sees few requests of each workspace, they shed more than needed.
    CHECK((*settings)->workspaceShares == node::WorkspaceSharesMode::Off);
}

TEST(SettingsThatAreChecked, nameTheWrongSettingInsteadOfStartingWithIt)
{
    section("a value out of range",
            [] { checkRefused(Minimal + "[ports]\ncaller=70000\n", "ports.caller = \"70000\""); });
    section("a value that is not a number",
            [] { checkRefused(Minimal + "[limits]\nmax_hold_ms=soon\n", "limits.max_hold_ms"); });
    section("a mode that does not exist",
            [] { checkRefused(Minimal + "[admission]\nreturn_times=yes\n", "admission.return_times = \"yes\""); });
    section("a mode of the shares that does not exist",
            [] { checkRefused(Minimal + "[admission]\nworkspace_shares=1\n", "admission.workspace_shares = \"1\""); });
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

// Guards against times that were chosen for the bounds of one deployment and break those of another.
TEST(SettingsThatAreChecked, followTheBoundsOfTheDeployment)
{
    struct Bounds
    {
        int graceMs;
        int drainMs;
        int changeMs;
        int withdrawalMs;
    };
    for (const Bounds &bounds :
         {Bounds{6000, 2000, 2000, 5000}, Bounds{12000, 4000, 4000, 10000}, Bounds{3000, 1000, 1000, 2500}}) {
        const std::string text = Minimal + "kind=store\n[bounds]\nstop_grace_ms=" + std::to_string(bounds.graceMs)
                                 + "\ndrain_ms=" + std::to_string(bounds.drainMs)
                                 + "\nchange_apply_ms=" + std::to_string(bounds.changeMs)
                                 + "\nkey_withdrawal_ms=" + std::to_string(bounds.withdrawalMs) + "\n";
        section("a grace of " + std::to_string(bounds.graceMs) + " ms", [&] {
            const auto settings = node::parseSettings(text);
            CHECK(settings.has_value());
            const core::Duration grace = std::chrono::milliseconds(bounds.graceMs);
            section("is used to at least 80% and leaves time to exit", [&] {
                CHECK((*settings)->stopTimeout < grace);
                CHECK((*settings)->stopTimeout > grace * 8 / 10);
            });
            section("lets callers leave and gives the last request some time", [&] {
                CHECK((*settings)->stopLinger > std::chrono::milliseconds(bounds.drainMs));
                CHECK((*settings)->stopLinger < (*settings)->stopTimeout);
            });
            section("comes with ages of the configuration below the bounds of changes and keys", [&] {
                const core::Duration change = std::chrono::milliseconds(bounds.changeMs);
                CHECK((*settings)->proofRefresh + (*settings)->logPoll < change);
                CHECK((*settings)->proofFallback < change);
                CHECK((*settings)->denialStaleness <= change);
                CHECK((*settings)->keyStaleness < std::chrono::milliseconds(bounds.withdrawalMs));
            });
            section("gives way to a value in the file, which has to keep the bound", [&] {
                const auto own = node::parseSettings(text + "[node]\nstop_timeout_ms=2000\n");
                CHECK_FALSE(own.has_value()); // A section may stand once only.
                std::string merged = text;
                merged.insert(merged.find("address=") + 0, "stop_timeout_ms=2000\nstop_linger_ms=100\n");
                const auto shorter = node::parseSettings(merged);
                CHECK(shorter.has_value());
                CHECK((*shorter)->stopTimeout == std::chrono::milliseconds(2000));
                merged.replace(merged.find("stop_timeout_ms=2000"), 20, "stop_timeout_ms=30000");
                checkRefused(merged, "node.stop_timeout_ms = \"30000\": must be below bounds.stop_grace_ms");
            });
        });
    }
    section("half of the tolerated excess over a limit is used", [] {
        const auto settings = node::parseSettings(Minimal + "[bounds]\nlimit_excess_requests=20\n");
        CHECK(settings.has_value());
        LONGS_EQUAL(10, (*settings)->burstTolerance);
        LONGS_EQUAL(0, (*node::parseSettings(Minimal))->burstTolerance);
    });
    section("settings that contradict each other are refused", [] {
        checkRefused(Minimal + "[limits]\nburst_tolerance=21\n[bounds]\nlimit_excess_requests=20\n",
                     "limits.burst_tolerance");
        checkRefused(Minimal + "kind=store\nkey_staleness_ms=6000\n[bounds]\nkey_withdrawal_ms=5000\n",
                     "platform.key_staleness_ms");
        checkRefused(Minimal + "kind=store\nproof_fallback_ms=4500\n[bounds]\nkey_withdrawal_ms=5000\n",
                     "platform.proof_fallback_ms");
    });
    section("the source of each value is told, and secrets are not", [] {
        const auto document = node::parseDocument(Minimal + "[bounds]\nstop_grace_ms=6000\n");
        CHECK(document.has_value());
        const auto find = [&](const std::string &name) {
            for (const node::EffectiveSetting &setting : document->effective) {
                if (setting.name == name) {
                    return setting;
                }
            }
            return node::EffectiveSetting{};
        };
        CHECK(find("node.host") == (node::EffectiveSetting{"node.host", "a1", node::SettingSource::File}));
        CHECK(find("node.threads").source == node::SettingSource::Default);
        CHECK(find("node.stop_timeout_ms").source == node::SettingSource::Bound);
        STRCMP_EQUAL("...", find("fleet.secret").value.c_str());
    });
}

// Guards against a routing policy that is misspelt and silently replaced by the default.
TEST(SettingsThatAreChecked, nameTheRoutingPolicy)
{
    CHECK((*node::parseSettings(Minimal))->routingPolicy == routing::RoutingPolicy::Auto);
    CHECK((*node::parseSettings(Minimal + "[routing]\npolicy=load\n"))->routingPolicy == routing::RoutingPolicy::Load);
    CHECK((*node::parseSettings(Minimal + "[routing]\npolicy=cost\n"))->routingPolicy == routing::RoutingPolicy::Cost);
    checkRefused(Minimal + "[routing]\npolicy=Cost\n", "routing.policy");
}
