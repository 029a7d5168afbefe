#pragma once

namespace berylspring::ctl {

/** @brief Exit codes of berylspringctl. */
enum class ExitCode {
    Ok = 0,
    Refused = 1, ///< The node refused the request as invalid.
    Usage = 2,
    NotFound = 3,
    Conflict = 4, ///< Another change was made first.
    Unavailable = 5, ///< No response, or the platform log is unavailable.
    NotAuthorized = 6,
    TimedOut = 7, ///< The change was not in force everywhere in time.
};

/** @return The exit code for an HTTP status of the operator port. */
[[nodiscard]] ExitCode exitCodeOf(unsigned httpStatus) noexcept;

}
