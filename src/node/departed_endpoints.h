#pragma once

#include "berylspring/membership/member_snapshot.h"
#include "berylspring/routing/router.h"

#include <vector>

namespace berylspring::node::detail {

/**
 * @return Those of the known endpoints whose host is not in the snapshot any more or provides another service. A host
 * that is dead is in the snapshot until its retention time has passed. One without an endpoint counts as present, since
 * its endpoint may be restarting.
 */
[[nodiscard]] std::vector<routing::KnownEndpoint> departedEndpoints(std::vector<routing::KnownEndpoint> known,
                                                                    const membership::MemberSnapshot &snapshot);

}
