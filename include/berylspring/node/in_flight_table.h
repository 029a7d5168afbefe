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

/** @brief What a nested call inherits from the request that the endpoint is running. */
struct InFlightFields
{
    core::WorkspaceId workspace;
    std::optional<core::Digest> keyDigest;
    core::PriorityLevel priority = 0;
    core::TimePoint deadline;
    std::uint32_t retryAllowance = 0; ///< Left for this request and its nested calls.
    std::uint32_t retriesSpent = 0; ///< By its nested calls.
    telemetry::TraceContext trace;
    [[nodiscard]] bool operator==(const InFlightFields &) const = default;
};
using InFlight = core::Immutable<InFlightFields>;

/** @brief The requests that run on the endpoint of this host, by the context token given to it. */
class InFlightTable
{
public:
    explicit InFlightTable(core::RandomSource random);

    /** @return A new token that the endpoint cannot guess another one from. */
    [[nodiscard]] std::string add(InFlight request);
    /** @return The request as it stands, with the retries that its nested calls spent; nothing if it is not there. */
    std::optional<InFlight> remove(const std::string &token);
    /** @return The request of a token, or nothing. */
    [[nodiscard]] std::optional<InFlight> find(const std::string &token) const;
    /** @brief Takes half of the retry allowance, rounded up, for a nested call. @return What was taken. */
    std::uint32_t takeRetryAllowance(const std::string &token);
    /** @brief Ends a nested call: gives back what it was lent and did not spend. */
    void settleRetryAllowance(const std::string &token, std::uint32_t lent, std::uint32_t spent);
    [[nodiscard]] std::size_t size() const
    {
        return m_requests.size();
    }

private:
    core::RandomSource m_random;
    core::ShardedMap<std::string, InFlight> m_requests;
};

}
