#include "node/leave_restore.h"

namespace berylspring::node::detail {

namespace {

using namespace std::chrono_literals;

/** How long the answers of peers alone do not suffice; bounds what a slow log costs an endpoint. */
constexpr core::Duration LogPatience = 1s;
/** Keeps endpoints in service if neither the log nor a peer can tell for good. */
constexpr core::Duration MaxRestoreTime = 5s;

}

bool isRestored(const LeaveRestore &restore, core::TimePoint now)
{
    const core::Duration elapsed = now - restore->startedAt;
    if (restore->arePeersAsked) {
        const bool isLogLate = restore->hasLogFailed || elapsed >= LogPatience;
        if (restore->isLogRead || (isLogLate && restore->hasPeerAnswered)) {
            return true;
        }
    }
    return elapsed >= MaxRestoreTime;
}

}
