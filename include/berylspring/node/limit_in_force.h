#pragma once

#include "berylspring/config/catalogue.h"
#include "berylspring/core/name.h"
#include "berylspring/limit/workspace_limit.h"

#include <cstdint>
#include <optional>

namespace berylspring::node {

/** @brief Settings of a node that change the configured limits. */
struct LimitSettings
{
    bool areControlsOn = true; ///< False: no workspace is limited.
    std::uint32_t burstTolerance = 0; ///< Requests that each workspace may send over its configured burst.
    [[nodiscard]] bool operator==(const LimitSettings &) const = default;
};

/** @return The limit that the node enforces on the workspace; no value: it is not limited. */
[[nodiscard]] std::optional<limit::WorkspaceLimit>
limitInForce(const config::Catalogue &catalogue, const core::WorkspaceId &workspace, const LimitSettings &settings);

}
