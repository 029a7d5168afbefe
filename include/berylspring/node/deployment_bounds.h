#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/time.h"

#include <optional>

namespace berylspring::node {

/** @brief Times that a deployment guarantees or demands. A bound without a value is unknown. */
struct DeploymentBoundsFields
{
    std::optional<core::Duration> stopGrace; ///< From SIGTERM until the process is killed.
    std::optional<core::Duration> drain; ///< Within which callers and nodes stop using what has announced its end.
    std::optional<core::Duration> changeApply; ///< From the acceptance of a change until it is in force.
    std::optional<core::Duration> keyWithdrawal; ///< From the withdrawal of a key until its last use.
    [[nodiscard]] bool operator==(const DeploymentBoundsFields &) const = default;
};
using DeploymentBounds = core::Immutable<DeploymentBoundsFields>;

/** @brief Times that follow from the bounds; those of an unknown bound have no value. */
struct DerivedTimesFields
{
    std::optional<core::Duration> stopTimeout;
    std::optional<core::Duration> stopLinger;
    std::optional<core::Duration> logPoll;
    std::optional<core::Duration> proofRefresh;
    std::optional<core::Duration> proofFallback;
    std::optional<core::Duration> denialStaleness;
    std::optional<core::Duration> keyStaleness;
    [[nodiscard]] bool operator==(const DerivedTimesFields &) const = default;
};
using DerivedTimes = core::Immutable<DerivedTimesFields>;

/** @return The default times of a node in a deployment with these bounds. */
[[nodiscard]] DerivedTimes derivedTimes(const DeploymentBounds &bounds);

}
