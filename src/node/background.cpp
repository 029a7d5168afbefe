#include "node/background.h"

#include "berylspring/telemetry/log.h"

#include <string>

namespace berylspring::node::detail {

async::ReportFailure logFailure(std::string_view coroutine)
{
    return async::ReportFailure([name = std::string(coroutine)](const std::string &error) {
        telemetry::log(
            telemetry::Severity::Error, "background coroutine failed", {{"coroutine", name}, {"error", error}});
    });
}

}
