#pragma once

#include <optional>
#include <string_view>

namespace berylspring::core {

/** @brief What is known about the execution of a request. */
enum class Outcome {
    Answered, ///< The endpoint's complete response was received.
    NotRun, ///< No endpoint received any byte of the request.
    Unknown, ///< The request may have run.
};

/** @brief Why a request was refused. toString() gives the names used on the wire. */
enum class RefusalReason {
    BadRequest,
    KeyMissing,
    KeyInvalid,
    WorkspaceRefused,
    RouteUnknown,
    LimitExceeded,
    Overloaded,
    NoEndpoint,
    Draining,
    DeadlineExceeded,
    BodyTooLarge,
    Quarantined,
    ConnectionLost,
    HomeUnreachable,
    ClaimUnknown,
    NotReady,
    Cancelled,
};

/** @return "answered", "not-run" or "unknown". */
[[nodiscard]] std::string_view toString(Outcome outcome) noexcept;
/** @return Lower case with hyphens, for example "limit-exceeded". */
[[nodiscard]] std::string_view toString(RefusalReason reason) noexcept;
[[nodiscard]] std::optional<Outcome> outcomeFromString(std::string_view text) noexcept;
[[nodiscard]] std::optional<RefusalReason> refusalReasonFromString(std::string_view text) noexcept;

}
