#pragma once

#include "berylspring/core/name.h"
#include "berylspring/core/time.h"
#include "berylspring/core/types.h"
#include "berylspring/routing/explanation.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace berylspring::http {

/** @brief The request whose routing an operator asks for. */
struct ExplainQuestion
{
    std::string method = "GET";
    std::string path; ///< Begins with '/'.
    std::string host; ///< Value of `Host`; may be empty.
    core::WorkspaceId workspace; ///< Empty: a request without a workspace.
    std::optional<core::PriorityLevel> priority; ///< No value: as configured for the workspace or the route.
    std::optional<core::DataCentreId> dataCentre; ///< No value: that of the node.
    bool isNested = false;
    [[nodiscard]] bool operator==(const ExplainQuestion &) const = default;
};

enum class ExplainErrorCode {
    Invalid, ///< The question cannot be read (400).
    RouteUnknown, ///< No route has a prefix of the path (404).
    WorkspaceUnknown, ///< The workspace does not exist (404).
    NotReady, ///< The node has no usable configuration (503).
};

/** @brief Why there is no explanation. */
struct ExplainError
{
    ExplainErrorCode code = ExplainErrorCode::Invalid;
    std::string detail;
    [[nodiscard]] bool operator==(const ExplainError &) const = default;
};

/** @brief Limit of the workspace that is in force. */
struct LimitExplanation
{
    double rate = 0; ///< Tokens per second.
    double burst = 0; ///< Tokens, with the tolerance of the node.
    [[nodiscard]] bool operator==(const LimitExplanation &) const = default;
};

/** @brief One service of the route. */
struct ServiceExplanation
{
    double share = 1; ///< Share of the route's requests that the service receives, 0 to 1.
    double shedShare = 0; ///< Share of such root requests to it that this node sheds now, 0 to 1.
    routing::RouteExplanation routing;
    [[nodiscard]] bool operator==(const ServiceExplanation &) const = default;
};

/** @brief How a node would route a request now. */
struct RequestExplanation
{
    core::RouteId route;
    core::PriorityLevel priority = 0; ///< Effective priority.
    core::Duration timeout{};
    bool isKeyNeeded = false; ///< A root request without a key is refused.
    bool isNested = false;
    double shedShare = 0; ///< Mean over the services, weighted by their shares.
    std::optional<LimitExplanation> limit; ///< No value: the request is not limited.
    std::vector<ServiceExplanation> services; ///< In the order of the route.
    [[nodiscard]] bool operator==(const RequestExplanation &) const = default;
};

}
