#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/time.h"

#include <optional>

namespace berylspring::node {

/** @brief What a node has learned of the other members since its start. */
struct JoinProgressFields
{
    core::TimePoint startedAt;
    std::optional<core::TimePoint> announcementsReadAt; ///< When the announcements in the log were read to their end.
    std::optional<core::TimePoint> firstContactAt; ///< When another member answered for the first time.
    [[nodiscard]] bool operator==(const JoinProgressFields &) const = default;
};
using JoinProgress = core::Immutable<JoinProgressFields>;

/** @return Whether the node takes part in the fleet: a member has answered, or there is none. */
[[nodiscard]] bool hasJoined(const JoinProgress &progress, core::TimePoint now);
/**
 * @return Whether the other hosts of the data centre that may own buckets and claims are known. Until then, a node
 * would regard itself as the owner of each of them.
 */
[[nodiscard]] bool knowsDataCentre(const JoinProgress &progress, core::TimePoint now);

}
