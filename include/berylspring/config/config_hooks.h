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

/** @brief Dependencies of the ConfigService. All hooks must be safe to call from several threads at a time. */
struct ConfigHooks
{
    eventlog::LogHooks log;
    wire::PeerCall call;
    std::function<core::TimePoint()> now;
    core::RandomSource random;
    std::function<bool()> isReader; ///< Whether this node long-polls the log.
    std::function<int()> snapshotRank; ///< 0: snapshot writer, 1: backup writer, -1: none.
    std::function<std::vector<core::HostId>()> peers; ///< Live members except this node.
    /** Reader in the same data centre that serves new records; no value if it is this node. The hook may be empty. */
    std::function<std::optional<core::HostId>()> reader;
    /** Called with each new applied offset; calls from several threads may arrive out of order. May be empty. */
    std::function<void(core::Offset)> applied;
    std::function<void()> notify; ///< Called after new records were applied, to notify peers. May be empty.
    std::function<void(std::string)> report; ///< Logs a fault that needs an operator. May be empty.
};

}
