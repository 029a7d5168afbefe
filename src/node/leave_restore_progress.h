#pragma once

#include "berylspring/core/immutable.h"
#include "berylspring/core/time.h"

namespace berylspring::node::detail {

/** @brief What a process has learned so far of the leaves that earlier processes of its host have acknowledged. */
struct LeaveRestoreProgressFields
{
    core::TimePoint startedAt; ///< Start of the process.
    bool isLogRead = false;
    bool hasLogFailed = false; ///< An attempt to read the log has failed.
    bool arePeersAsked = false; ///< Each peer that may keep leaves has answered or is unreachable.
    bool hasPeerAnswered = false; ///< A peer has answered that has completed its own restore.
    [[nodiscard]] bool operator==(const LeaveRestoreProgressFields &) const = default;
};
using LeaveRestoreProgress = core::Immutable<LeaveRestoreProgressFields>;

/**
 * @return Whether heartbeats may be applied. A leave that was acknowledged while the log was down is kept by peers
 * only. While the log cannot be read, peers must know of the time before the start of this process.
 */
[[nodiscard]] bool isRestored(const LeaveRestoreProgress &progress, core::TimePoint now);

}
