#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"

#include <compare>
#include <cstddef>
#include <vector>

namespace berylspring::idempotency {

/** @brief When an entry that can't reach a home may answer `not-run`. */
enum class UnreachablePolicy {
    GeneratedKeysOnly, ///< Only for a key generated here: another node may have forwarded a caller's key before.
    NotForwardedHere, ///< If this node forwarded no send of the name. Incorrect after a send through another node.
};

/** @brief Settings of the IdempotencyService. */
struct IdempotencySettings
{
    core::HostId self;
    core::DataCentreId dataCentre; ///< Data centre of this host.
    std::vector<core::DataCentreId> declared; ///< All data centres of the deployment.
    core::Duration retention = std::chrono::minutes(10); ///< Lifetime of a record, from the claim on.
    std::size_t storedBytes = 16U << 20U; ///< Limit for stored responses on this node.
    std::size_t records = 100'000; ///< Limit for records on this node.
    /** How long an entry retries while no home got any byte of the request. Exceeds the detection time of a dead host.
     */
    core::Duration homeRetryTimeout = std::chrono::seconds(5);
    UnreachablePolicy unreachablePolicy = UnreachablePolicy::GeneratedKeysOnly;
    [[nodiscard]] bool operator==(const IdempotencySettings &) const = default;
};

/** @brief Origin of the key of a request. */
enum class NameOrigin {
    Caller, ///< From `Idempotency-Key`: other sends of the name may exist.
    Entry, ///< From oneTimeKey(): this send is the only one.
};

}
