#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/name.h"

#include <string_view>

namespace berylspring::core {

/**
 * @brief Identifies a request by its content, for quarantine and for claims.
 *
 * Each part is prefixed with its length, so that different requests never produce the same hash input.
 * @param method HTTP method.
 * @param target Path and query as the caller sent them.
 * @param body Complete body.
 * @param workspace Workspace of the caller's key; empty on an open route.
 */
[[nodiscard]] Digest
requestDigest(std::string_view method, std::string_view target, std::string_view body, const WorkspaceId &workspace);

}
