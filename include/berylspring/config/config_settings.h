#pragma once

#include "berylspring/core/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace berylspring::config {

/** @brief Times and sizes of the ConfigService. */
struct ConfigSettings
{
    std::string configStream = "config";
    std::string snapshotStream = "snapshot";
    core::Duration longPoll = std::chrono::seconds(10); ///< Time that a reader's poll waits for records.
    core::Duration slowPoll = std::chrono::minutes(2); ///< Between polls of a node that is no reader.
    /** Longest age of the proof that the configuration is the newest, before a peer is asked; 0: peers are not asked.
     */
    core::Duration proofRefresh{};
    core::Duration proofTimeout = std::chrono::milliseconds(300); ///< Until the peer counts as not answering.
    /** Age of the proof from which a node reads the log itself, whatever its role; 0: never. */
    core::Duration proofFallback{};
    bool isLogWritable = true; ///< False: operators write to the log themselves, and snapshots are not needed.
    core::Duration roleCheck = std::chrono::seconds(1); ///< Between looks at whether the node became a reader.
    core::Duration retryDelay = std::chrono::milliseconds(250); ///< After the first failure; doubles up to 16 times it.
    core::Duration writeTimeout = std::chrono::seconds(5); ///< Until a write is given up as unavailable.
    core::Duration settleTime = std::chrono::milliseconds(500); ///< Until an append without an answer is repeated.
    core::Duration withdrawalWait = std::chrono::seconds(1); ///< Until a withdrawal counts as announced only.
    core::Duration withdrawalRetry = std::chrono::seconds(1); ///< Between attempts to record pending withdrawals.
    core::Duration withdrawalRescue = std::chrono::seconds(10); ///< Until readers record a withdrawal of another node.
    core::Duration peerTimeout = std::chrono::seconds(1); ///< Of one call to a peer.
    core::Duration snapshotInterval = std::chrono::hours(6); ///< A quarter of the log's retention period.
    /** Records of one read or pull. A shorter page shows the end of the log, so the log must not cap pages below it. */
    std::uint32_t pageRecords = 500;
    std::size_t historyRecords = 10'000; ///< Records that are kept in memory for peers.
    [[nodiscard]] bool operator==(const ConfigSettings &) const = default;
};

}
