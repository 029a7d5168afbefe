#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/types.h"

#include <string>
#include <string_view>

namespace berylspring::idempotency {

/**
 * @param workspace Empty on an open route for a caller without an API key.
 * @param key Value of `Idempotency-Key`.
 * @return Name of the request, "WORKSPACE/ROUTE/KEY". Workspace and route names contain no '/'.
 */
[[nodiscard]] std::string
claimName(const core::WorkspaceId &workspace, const core::RouteId &route, std::string_view key);

/** @return The key in a claim name, or the whole text if it is not a claim name. */
[[nodiscard]] std::string_view keyOf(std::string_view claimName) noexcept;

/** @return A unique key for a request without `Idempotency-Key`. Its home is in the given data centre. */
[[nodiscard]] std::string oneTimeKey(const core::DataCentreId &dataCentre, const core::RandomSource &random);

}
