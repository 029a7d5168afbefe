#pragma once

#include "berylspring/core/refusal.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/idempotency/claim_table.h"
#include "berylspring/idempotency/home_order.h"
#include "berylspring/idempotency/home_selection.h"
#include "berylspring/idempotency/hooks.h"
#include "berylspring/idempotency/settings.h"
#include "berylspring/retry/backoff.h"
#include "idempotency/execution.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace berylspring::idempotency::detail {

/** Longest time that a request may run at its home. Far below the retention, which starts with the claim. */
inline constexpr core::Duration MaxRunTime = std::chrono::seconds(60);
/** Timeout of one request between home and standby; after it the message counts as lost. */
inline constexpr core::Duration ClaimTimeout = std::chrono::milliseconds(500);
inline constexpr retry::BackoffPolicy RetryBackoff{std::chrono::milliseconds(10), std::chrono::milliseconds(200)};

/** @brief Atomic counterparts of IdempotencyCounters. */
struct Counts
{
    using Count = std::atomic<std::uint64_t>;
    Count started{0};
    Count dispatched{0};
    Count waited{0};
    Count replayed{0};
    Count unknown{0};
    Count mismatched{0};
    Count released{0};
    Count claimsAccepted{0};
    Count claimsRefused{0};
    Count resent{0};
    Count recordsHandedOver{0};
    Count recordsNotHandedOver{0};
};

/** @brief State shared by all coroutines of one service. Each coroutine holds a reference that keeps it alive. */
struct State
{
    State(boost::asio::any_io_executor executor, IdempotencySettings settings, IdempotencyHooks hooks);

    [[nodiscard]] HomeOrder orderOf(const std::string &name) const;
    [[nodiscard]] bool isOwnDataCentre(const std::string &name) const;
    /** @return How long this process has kept claim records. */
    [[nodiscard]] core::Duration uptime() const;
    /** @brief Keeps the earliest known start of a host; a restart must not hide that an earlier process had records. */
    void notePeerUptime(const core::HostId &host, core::Duration uptime);

    const boost::asio::any_io_executor executor;
    const IdempotencySettings settings;
    const IdempotencyHooks hooks;
    const HomeSelection selection;
    const core::TimePoint started;
    ClaimTable table;
    core::ShardedMap<std::string, std::shared_ptr<Execution>> executions;
    core::ShardedMap<core::HostId, core::TimePoint> peerStarts; ///< Earliest known start of peers.
    core::ShardedMap<std::string, core::TimePoint> forwardedNames; ///< With UnreachablePolicy::NotForwardedHere only.
    std::atomic<std::uint64_t> publishing{0}; ///< Number of results being sent to standbys.
    std::atomic<bool> isStopping{false}; ///< No requests are started.
    std::atomic<bool> isHandingOver{false}; ///< No claims are accepted as standby.
    Counts counts;
};

using StatePtr = std::shared_ptr<State>;

[[nodiscard]] wire::CallResponse refusalOf(core::RefusalReason reason, core::Outcome outcome, std::string detail = {});

}
