#include "berylspring/node/join_progress.h"
#include "support/section.h"

#include <CppUTest/TestHarness.h>

using namespace berylspring;
using namespace std::chrono_literals;
using node::JoinProgress;
using test::section;

TEST_GROUP(ANodeThatJoins)
{
    const core::TimePoint start{core::Duration(1h)};
};

// Guards against several owners of one limit after all nodes have restarted while the log cannot be read: each of them
// took itself for the only one.
TEST(ANodeThatJoins, isNotAloneBeforeItHasReadTheAnnouncements)
{
    section("however long the log is unavailable", [&] {
        const JoinProgress progress({.startedAt = start});
        CHECK_FALSE(hasJoined(progress, start + 1min));
        CHECK_FALSE(knowsDataCentre(progress, start + 1min));
    });
    section("nor before the announced hosts could answer", [&] {
        const JoinProgress progress({.startedAt = start, .announcementsReadAt = start + 1min});
        CHECK_FALSE(hasJoined(progress, start + 1min + 999ms));
        CHECK_FALSE(knowsDataCentre(progress, start + 1min + 999ms));
        CHECK_TRUE(hasJoined(progress, start + 1min + 1s));
        CHECK_TRUE(knowsDataCentre(progress, start + 1min + 1s));
    });
    section("nor soon after its start", [&] {
        const JoinProgress progress({.startedAt = start, .announcementsReadAt = start + 10ms});
        CHECK_FALSE(hasJoined(progress, start + 2999ms));
        CHECK_TRUE(hasJoined(progress, start + 3s));
    });
}

// Guards against a node that owns limits with the few members that it knows at its first contact.
TEST(ANodeThatJoins, knowsItsDataCentreSoonAfterItsFirstContact)
{
    section("when the announced hosts could answer", [&] {
        const JoinProgress progress(
            {.startedAt = start, .announcementsReadAt = start + 100ms, .firstContactAt = start + 200ms});
        CHECK_FALSE(knowsDataCentre(progress, start + 449ms));
        CHECK_TRUE(knowsDataCentre(progress, start + 450ms));
    });
    section("without announcements, when it has received the member table", [&] {
        const JoinProgress progress({.startedAt = start, .firstContactAt = start + 5s});
        CHECK_TRUE(hasJoined(progress, start + 5s));
        CHECK_FALSE(knowsDataCentre(progress, start + 5999ms));
        CHECK_TRUE(knowsDataCentre(progress, start + 6s));
    });
}
