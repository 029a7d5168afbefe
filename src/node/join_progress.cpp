#include "berylspring/node/join_progress.h"

namespace berylspring::node {

namespace {

using namespace std::chrono_literals;

/** Time in which a new node receives the whole member table after its first contact with a member. */
constexpr core::Duration JoinDelay = 1s;
/** Time in which the announced hosts of the data centre answer; a lost datagram is sent again within it. */
constexpr core::Duration IntroductionDelay = 350ms;
/** Least age of a node that regards itself as the only one. */
constexpr core::Duration SoloJoinDelay = 3s;
/** Time in which a host that has just started answers too; longer because many may start at once. */
constexpr core::Duration SoloIntroductionDelay = 1s;

bool hasPassedSince(const std::optional<core::TimePoint> &event, core::Duration delay, core::TimePoint now)
{
    return event && now - *event >= delay;
}

/** Silence proves nothing before the announcements are known, because nobody has been asked yet. */
bool isAlone(const JoinProgress &progress, core::TimePoint now)
{
    return now - progress->startedAt >= SoloJoinDelay
           && hasPassedSince(progress->announcementsReadAt, SoloIntroductionDelay, now);
}

}

bool hasJoined(const JoinProgress &progress, core::TimePoint now)
{
    return (progress->firstContactAt && now - progress->startedAt >= JoinDelay) || isAlone(progress, now);
}

bool knowsDataCentre(const JoinProgress &progress, core::TimePoint now)
{
    const bool isIntroduced =
        progress->firstContactAt && hasPassedSince(progress->announcementsReadAt, IntroductionDelay, now);
    return isIntroduced || hasPassedSince(progress->firstContactAt, JoinDelay, now) || isAlone(progress, now);
}

}
