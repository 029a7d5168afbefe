#pragma once

#include "berylspring/async/report_failure.h"

#include <string_view>

namespace berylspring::node::detail {

/** @return Completion handler that logs the exception that ended a background coroutine. */
[[nodiscard]] async::ReportFailure logFailure(std::string_view coroutine);

}
