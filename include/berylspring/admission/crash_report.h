#pragma once

#include "berylspring/admission/quarantine.h"
#include "berylspring/core/digest.h"
#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <string>

namespace berylspring::admission {

/** @brief A request that ran while its endpoint crashed, and what this node concludes from it. */
struct CrashReportFields
{
    std::string requestId;
    core::Digest requestDigest;
    core::ServiceId service;
    bool ranAlone = false; ///< No other request ran on the endpoint from its start to the crash.
    QuarantineState state = QuarantineState::Clear;
    core::Duration remaining{}; ///< Remaining time of the quarantine; zero if there is none.
    [[nodiscard]] bool operator==(const CrashReportFields &) const = default;
};
using CrashReport = core::Immutable<CrashReportFields>;

}
