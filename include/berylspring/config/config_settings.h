#pragma once

#include "berylspring/core/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace berylspring::config {

/** @brief Timeouts, intervals and sizes of the ConfigService. */
struct ConfigSettings
{
    std::string configStream = "config";
    std::string snapshotStream = "snapshot";
    core::Duration longPoll = std::chrono::seconds(10); ///< Maximum wait of a reader's long poll.
    core::Duration slowPoll = std::chrono::minutes(2); ///< Interval between polls of a node that is not a reader.
    /**
     * Age of the proof that the configuration is current at which the reader is asked for a newer one; 0: at each step.
     * It has no effect while proofFallback is 0.
     */
    core::Duration proofRefresh{};
    core::Duration proofTimeout = std::chrono::milliseconds(300); ///< Timeout of that request.
    /** Age of the proof at which a node reads the log itself, regardless of its role; 0: never. */
    core::Duration proofFallback{};
    bool isLogWritable = true; ///< False: operators write directly to the log, and no snapshots are needed.
    core::Duration roleCheck = std::chrono::seconds(1); ///< Interval between checks of whether the node is a reader.
    core::Duration retryDelay = std::chrono::milliseconds(250); ///< After the first failure; doubles up to 16-fold.
    core::Duration writeTimeout = std::chrono::seconds(5); ///< Time after which a write fails as unavailable.
    core::Duration confirmTimeout = std::chrono::milliseconds(500); ///< After which an unanswered append is repeated.
    core::Duration withdrawalWait = std::chrono::seconds(1); ///< Until an unrecorded withdrawal returns as announced.
    core::Duration withdrawalRetry = std::chrono::seconds(1); ///< Interval of attempts to record withdrawals.
    core::Duration withdrawalTakeover = std::chrono::seconds(10); ///< Until readers record another node's withdrawal.
    core::Duration peerTimeout = std::chrono::seconds(1); ///< Timeout of one call to a peer.
    core::Duration snapshotInterval = std::chrono::hours(6); ///< A quarter of the log's retention period.
    /**
     * Maximum number of records per read or pull. A shorter page indicates the end of the log, so the log must not
     * limit pages to fewer records.
     */
    std::uint32_t pageRecords = 500;
    std::size_t historyRecords = 10'000; ///< Number of records kept in memory for peers.
    [[nodiscard]] bool operator==(const ConfigSettings &) const = default;
};

}
