#pragma once

#include <cstdint>
#include <string_view>

namespace berylspring::config {

/** @brief Result of folding a record. */
enum class Verdict {
    Accepted, ///< The record took effect.
    Void, ///< The record is well-formed but conflicts with another record or a rule.
    Malformed, ///< The record cannot be parsed; it has no effect.
};

/** @brief Rule that made a record void. The numbers are part of the snapshot format. */
enum class VoidReason : std::uint8_t {
    None = 0,
    FirstOffset = 1, ///< Offset 0 cannot be a version, because version 0 stands for "does not exist".
    Duplicate = 2, ///< The operation was already folded at a lower offset.
    VersionMismatch = 3,
    NotFound = 4,
    DigestWithdrawn = 5, ///< The key's digest was withdrawn and is never accepted again.
    DigestFixed = 6, ///< The digest of an existing key cannot be changed.
    DigestInUse = 7, ///< Another key has the digest.
    PrefixInUse = 8, ///< Another route has the prefix.
    MissingReference = 9, ///< The referenced workspace or priority does not exist.
    InUse = 10, ///< Other resources refer to it.
    AlreadyFolded = 11, ///< The offset is below the applied offset.
};
inline constexpr std::uint8_t VoidReasonCount = 12;

/** @return Human-readable description; it is part of error messages of the operator API. */
[[nodiscard]] std::string_view toString(VoidReason reason) noexcept;

}
