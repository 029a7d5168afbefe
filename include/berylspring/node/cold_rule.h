#pragma once

#include "berylspring/admission/cold_state.h"
#include "berylspring/config/resource.h"
#include "berylspring/node/deployment_bounds.h"

namespace berylspring::node {

/**
 * @param service Resource of the service, or null: its endpoints tolerate any rate at any time.
 * @return How many requests a cold endpoint of the service may be sent in a deployment with these bounds.
 */
[[nodiscard]] admission::ColdRule coldRule(const config::Service *service, const DeploymentBounds &bounds);

}
