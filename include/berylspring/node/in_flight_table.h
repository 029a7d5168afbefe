#pragma once

#include "berylspring/core/digest.h"
#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/sharded_map.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/telemetry/trace_context.h"

#include <cstdint>
#include <optional>
#include <string>

namespace berylspring::node {

/** @brief Attributes of a running request that its nested calls inherit. */
struct InFlightFields
{
    core::WorkspaceId workspace;
    std::optional<core::Digest> keyDigest;
    core::PriorityLevel priority = 0;
    core::TimePoint deadline;
    core::TimePoint rootDeadline; ///< Of the root request; that of this request if the root's is not known.
    std::uint32_t retryAllowance = 0; ///< Retries left for this request and its nested calls.
    std::uint32_t retriesSpent = 0; ///< Retries that its nested calls have used.
    telemetry::TraceContext trace;
    [[nodiscard]] bool operator==(const InFlightFields &) const = default;
};
using InFlight = core::Immutable<InFlightFields>;

/** @brief Requests that run on the endpoint of this host, by the context token issued for each. Thread-safe. */
class InFlightTable
{
public:
    explicit InFlightTable(core::RandomSource random);

    /** @return A new token, from which other tokens cannot be guessed. */
    [[nodiscard]] std::string add(InFlight request);
    /** @return The removed request with the retries that its nested calls used; nothing if the token is unknown. */
    std::optional<InFlight> remove(const std::string &token);
    /** @return The request of a token; nothing if the token is unknown. */
    [[nodiscard]] std::optional<InFlight> find(const std::string &token) const;
    /**
     * @brief Reserves half of the remaining retry allowance, rounded up, for a nested call.
     * @return The number of retries reserved; 0 if the token is unknown.
     */
    std::uint32_t reserveRetryAllowance(const std::string &token);
    /** @brief Returns the unused part of a reservation when the nested call ends, and records the used part. */
    void settleRetryAllowance(const std::string &token, std::uint32_t reserved, std::uint32_t spent);
    [[nodiscard]] std::size_t size() const
    {
        return m_requests.size();
    }

private:
    core::RandomSource m_random;
    core::ShardedMap<std::string, InFlight> m_requests;
};

}
