#pragma once

#include "berylspring/config/error.h"
#include "berylspring/config/resource_type.h"
#include "berylspring/core/digest.h"
#include "berylspring/core/immutable.h"
#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace berylspring::config {

using LimitId = core::Name<struct LimitTag>;
using PriorityId = core::Name<struct PriorityTag>;
using RequestLimitsId = core::Name<struct RequestLimitsTag>;

/** @brief What a data centre does after a time without contact to the log or any other data centre. */
enum class Staleness : std::uint8_t {
    Serve,
    Refuse,
};

/** @brief A tenant. */
struct WorkspaceFields
{
    core::WorkspaceId name;
    double weight = 1; ///< Relative share among workspaces in a full queue; 0.001 to 1000.
    Staleness staleness = Staleness::Serve;
    core::Duration stalenessLimit = std::chrono::hours(1); ///< 1 s to 7 days.
    PriorityId priority; ///< Overrides the priority of the route; empty: the route's applies.
    [[nodiscard]] bool operator==(const WorkspaceFields &) const = default;
};
using Workspace = core::Immutable<WorkspaceFields>;

/** @brief An API key of callers; only its digest is stored. */
struct KeyFields
{
    core::KeyId name;
    core::WorkspaceId workspace;
    core::Digest digest; ///< SHA-256 of the key.
    [[nodiscard]] bool operator==(const KeyFields &) const = default;
};
using Key = core::Immutable<KeyFields>;

/** @brief Rate and burst of a workspace over all hosts. */
struct LimitFields
{
    LimitId name;
    core::WorkspaceId workspace;
    double rate = 0; ///< Tokens per second, 0.001 to 10^9.
    double burst = 0; ///< Tokens, at least 1 and at least rate x 10 ms, at most 10^9.
    [[nodiscard]] bool operator==(const LimitFields &) const = default;
};
using Limit = core::Immutable<LimitFields>;

/** @brief Importance of the requests of a route. */
struct PriorityFields
{
    PriorityId name;
    core::PriorityLevel level = 0;
    double worth = 1; ///< Configured value of one completed request, 0 to 10^9.
    [[nodiscard]] bool operator==(const PriorityFields &) const = default;
};
using Priority = core::Immutable<PriorityFields>;

/** @brief A service that receives a share of a route's requests. */
struct ServiceShare
{
    core::ServiceId service;
    std::uint32_t weight = 1; ///< Relative to the sum of all weights; 0 to 1,000,000.
    [[nodiscard]] bool operator==(const ServiceShare &) const = default;
};

/** @brief Host and path prefix that select a service. */
struct RouteFields
{
    core::RouteId name;
    std::string host; ///< Value of `Host` without a port, in lower case; empty: any host.
    std::string prefix; ///< Segments of A-Z a-z 0-9 - . _ ~, without a trailing slash except for "/".
    bool isForPrefixItself = true; ///< Whether a path equal to the prefix, without a trailing slash, matches.
    std::vector<ServiceShare> services; ///< At least one; the sum of the weights is positive.
    PriorityId priority;
    bool isOpen = false; ///< Requests need no key.
    bool isInternal = false; ///< Requests without a key are calls of endpoints that belong to an admitted request.
    core::Duration timeout = std::chrono::seconds(10); ///< Timeout of the whole request; 1 ms to 10 min.
    core::Duration targetLatency{}; ///< Latency up to which a response has its full worth; 0: not set.
    std::uint32_t retries = 2; ///< Retry budget of a root request, 0 to 10.
    std::map<std::string, bool> idempotency; ///< Overrides by method; other methods follow `isSafe`.
    std::optional<bool> isSafe; ///< Whether requests may run more than once; no value: as HTTP defines the method.
    [[nodiscard]] bool operator==(const RouteFields &) const = default;
};
using Route = core::Immutable<RouteFields>;

/** @brief Limits on the size and duration of callers' requests. Node settings may restrict the sizes further. */
struct RequestLimitsFields
{
    RequestLimitsId name; ///< Only `default` exists.
    std::uint32_t maxHeaderBytes = 16'384; ///< 256 to 1 MiB.
    std::uint64_t maxBodyBytes = 1'048'576; ///< Up to 1 GiB.
    core::Duration headerTimeout = std::chrono::seconds(10); ///< From the first byte of a request; 1 ms to 10 min.
    core::Duration idleTimeout = std::chrono::seconds(60); ///< Maximum wait for the next request; 1 ms to 10 min.
    [[nodiscard]] bool operator==(const RequestLimitsFields &) const = default;
};
using RequestLimits = core::Immutable<RequestLimitsFields>;

/** @brief Properties of the endpoints of a service. A service without this resource has the defaults. */
struct ServiceFields
{
    core::ServiceId name;
    double coldRate = 0; ///< Requests per second that a cold endpoint tolerates, up to 10^6; 0: any number.
    core::Duration coldTime = std::chrono::seconds(3); ///< How long an endpoint is cold after a start; 0 to 10 min.
    [[nodiscard]] bool operator==(const ServiceFields &) const = default;
};
using Service = core::Immutable<ServiceFields>;

/** @brief An operator's request that nothing more be sent to the endpoints of a data centre, until it is deleted. */
struct EvacuationFields
{
    core::DataCentreId name;
    [[nodiscard]] bool operator==(const EvacuationFields &) const = default;
};
using Evacuation = core::Immutable<EvacuationFields>;

/** @brief Any resource; the alternatives are in the order of ResourceType. */
using Resource = std::variant<Workspace, Key, Limit, Priority, Route, RequestLimits, Service, Evacuation>;

/**
 * @brief Parses a resource strictly: unknown members, wrong types and values out of range are errors.
 * @param type Type of the resource.
 * @param name Name of the resource; the JSON member `name` is optional and must be equal to it.
 * @param json A JSON object.
 * @return The resource, or Invalid with member, value and range.
 */
[[nodiscard]] Result<Resource> parseResource(ResourceType type, std::string_view name, std::string_view json);

/** @return A JSON object with all members; equal resources give equal text. */
[[nodiscard]] std::string toJson(const Resource &resource);

[[nodiscard]] ResourceType typeOf(const Resource &resource) noexcept;
[[nodiscard]] const std::string &nameOf(const Resource &resource) noexcept;

/** @return Whether the method is idempotent by the route's override or `isSafe`, or else as HTTP defines it. */
[[nodiscard]] bool isIdempotent(const Route &route, std::string_view method);

}
