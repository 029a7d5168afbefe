#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <compare>
#include <cstddef>
#include <vector>

namespace berylspring::idempotency {

/** @brief When an entry that can't reach the home data centre may answer `not-run`. */
enum class UnreachableRule {
    AllSends, ///< Only for a name that this entry generated: another node may have passed on a caller's name before.
    ThisNode, ///< If this node passed on no send of the name. Wrong after a send through another node.
};

/** @brief Settings of the IdempotencyService. */
struct IdempotencySettings
{
    core::HostId self;
    core::DataCentreId dataCentre; ///< Of this host.
    std::vector<core::DataCentreId> declared; ///< All data centres of the deployment.
    core::Duration retention = std::chrono::minutes(10); ///< Of a record, from the claim on.
    std::size_t storedBytes = 16U << 20U; ///< Stored answers on this node.
    std::size_t records = 100'000; ///< Records on this node.
    /** How long an entry tries to reach a home that got no byte of the request. Covers the detection of a dead host. */
    core::Duration homePatience = std::chrono::seconds(5);
    UnreachableRule unreachableRule = UnreachableRule::AllSends;
    [[nodiscard]] bool operator==(const IdempotencySettings &) const = default;
};

/** @brief Where the name of a request comes from. */
enum class NameOrigin {
    Caller, ///< `Idempotency-Key`: other sends of the name may exist.
    Entry, ///< oneTimeKey(): this send is the only one.
};

}
