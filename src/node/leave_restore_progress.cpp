#include "node/leave_restore_progress.h"

namespace berylspring::node::detail {

namespace {

using namespace std::chrono_literals;

/** How long the answers of peers alone do not suffice; bounds what a slow log costs an endpoint. */
constexpr core::Duration LogPatience = 1s;
/** Keeps endpoints in service if neither the log nor a peer can tell for good. */
constexpr core::Duration MaxRestoreTime = 5s;

}

bool isRestored(const LeaveRestoreProgress &progress, core::TimePoint now)
{
    const core::Duration elapsed = now - progress->startedAt;
    if (progress->arePeersAsked) {
        const bool isLogLate = progress->hasLogFailed || elapsed >= LogPatience;
        if (progress->isLogRead || (isLogLate && progress->hasPeerAnswered)) {
            return true;
        }
    }
    return elapsed >= MaxRestoreTime;
}

}
