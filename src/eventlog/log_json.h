#pragma once

#include "berylspring/eventlog/error.h"
#include "berylspring/eventlog/log_page.h"

#include <string_view>

namespace berylspring::eventlog::detail {

/** @return The offset in the response to an append, or Malformed; the append has taken effect in either case. */
[[nodiscard]] Result<core::Offset> parseAppendResponse(std::string_view body);

/** @return The page in the response to a read; Malformed also if the offsets do not ascend. */
[[nodiscard]] Result<LogPage> parseLogPage(std::string_view body);

/** @return Expired with the member `first` of a response with status 410, or Malformed. */
[[nodiscard]] Error parseExpired(std::string_view body);

}
