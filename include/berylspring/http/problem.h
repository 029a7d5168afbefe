#pragma once

#include "berylspring/core/refusal.h"
#include "berylspring/http/messages.h"

namespace berylspring::http {

/** @return HTTP status of a refusal: 401, 403, 404, 429, 503, 504, 400 or 413. */
[[nodiscard]] std::uint16_t statusOf(core::RefusalReason reason) noexcept;

/**
 * @brief Problem document (RFC 9457) of a refusal with the members outcome and reason, and with Retry-After in whole
 * seconds, rounded up, if the refusal has a retry delay.
 */
[[nodiscard]] Response problemResponse(const core::Refusal &refusal);

/** @brief Problem document for an error of the HTTP interface that is not a refused request. */
[[nodiscard]] Response problemResponse(std::uint16_t status, const std::string &title, const std::string &detail);

}
