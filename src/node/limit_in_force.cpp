#include "berylspring/node/limit_in_force.h"

namespace berylspring::node {

std::optional<limit::WorkspaceLimit>
limitInForce(const config::Catalogue &catalogue, const core::WorkspaceId &workspace, const LimitSettings &settings)
{
    const config::Limit *limit =
        settings.areControlsOn && !workspace.isEmpty() ? catalogue.findLimit(workspace) : nullptr;
    return limit == nullptr
               ? std::nullopt
               : std::optional(limit::WorkspaceLimit((*limit)->rate, (*limit)->burst + settings.burstTolerance));
}

}
