#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/time.h"

#include <cstdint>
#include <optional>

namespace berylspring::node {

/** @brief What a deployment guarantees or demands. A bound without a value is unknown. */
struct DeploymentBoundsFields
{
    std::optional<core::Duration> stopGrace; ///< From SIGTERM until the process is killed.
    std::optional<core::Duration> drain; ///< Within which callers and nodes stop using what has announced its end.
    std::optional<core::Duration> changeApply; ///< From the acceptance of a change until it is in force.
    std::optional<core::Duration> keyWithdrawal; ///< From the withdrawal of a key until its last use.
    /** Requests of a workspace over rate x window + burst that the deployment tolerates in any window. */
    std::optional<std::uint32_t> limitExcess;
    /** Factor of the rate of a cold endpoint that the deployment tolerates in any second, plus coldSlack requests. */
    std::optional<double> coldExcess;
    std::optional<std::uint32_t> coldSlack;
    /** Retries to a service beyond a tenth of its successes that the deployment tolerates when nodes restart. */
    std::optional<std::uint32_t> retryExcess;
    [[nodiscard]] bool operator==(const DeploymentBoundsFields &) const = default;
};
using DeploymentBounds = core::Immutable<DeploymentBoundsFields>;

/** @brief Settings that follow from the bounds; those of an unknown bound have no value. */
struct DerivedSettingsFields
{
    std::optional<core::Duration> stopTimeout;
    std::optional<core::Duration> drainStartWindow;
    std::optional<core::Duration> stopLinger;
    std::optional<core::Duration> logPoll;
    std::optional<core::Duration> proofRefresh;
    std::optional<core::Duration> proofFallback;
    std::optional<core::Duration> denialStaleness;
    std::optional<core::Duration> keyStaleness;
    std::optional<std::uint32_t> burstTolerance; ///< In requests.
    [[nodiscard]] bool operator==(const DerivedSettingsFields &) const = default;
};
using DerivedSettings = core::Immutable<DerivedSettingsFields>;

/** @return The default settings of a node in a deployment with these bounds. */
[[nodiscard]] DerivedSettings derivedSettings(const DeploymentBounds &bounds);

}
