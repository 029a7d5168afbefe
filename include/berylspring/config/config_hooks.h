#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/eventlog/log_hooks.h"
#include "berylspring/wire/peer_call.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace berylspring::config {

/** @brief What the ConfigService needs from its surroundings. All hooks must be safe to call from several threads. */
struct ConfigHooks
{
    eventlog::LogHooks log;
    wire::PeerCall call;
    std::function<core::TimePoint()> now;
    core::RandomSource random;
    std::function<bool()> isReader; ///< Whether this node follows the log by long polls.
    std::function<int()> snapshotRank; ///< 0: writes snapshots, 1: back-up, -1: neither.
    std::function<std::vector<core::HostId>()> peers; ///< Live members but this one.
    /** Reader of the own data centre to ask for news; nothing when it is this node. May be empty. */
    std::function<std::optional<core::HostId>()> reader;
    /** Called with each new applied offset; calls from several threads may overtake each other. May be empty. */
    std::function<void(core::Offset)> applied;
    std::function<void()> notify; ///< New records came in: tell peers. May be empty.
    std::function<void(std::string)> report; ///< Text for the log about a fault that needs an operator. May be empty.
};

}
