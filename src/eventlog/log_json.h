#pragma once

#include "berylspring/eventlog/error.h"
#include "berylspring/eventlog/log_page.h"

#include <string_view>

namespace berylspring::eventlog::detail {

/** @return The offset in the answer to an append, or Malformed; such an append has taken effect. */
[[nodiscard]] Result<core::Offset> parseAppendAnswer(std::string_view body);

/** @return The page in the answer to a read, or Malformed, also when the offsets do not ascend. */
[[nodiscard]] Result<LogPage> parseLogPage(std::string_view body);

/** @return Expired with the member `first` of an answer with status 410, or Malformed. */
[[nodiscard]] Error parseExpired(std::string_view body);

}
