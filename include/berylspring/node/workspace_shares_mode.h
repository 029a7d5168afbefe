#pragma once

namespace berylspring::node {

/** @brief Whether a partly shed rank is shared fairly among workspaces (setting admission.workspace_shares). */
enum class WorkspaceSharesMode {
    Auto, ///< While responses show that an endpoint of the fleet reports its pace.
    On,
    Off, ///< All requests of the rank are shed with the same probability.
};

}
