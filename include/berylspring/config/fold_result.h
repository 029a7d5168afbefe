#pragma once

#include <cstdint>
#include <string_view>

namespace berylspring::config {

/** @brief What folding a record came to. */
enum class Verdict {
    Accepted, ///< The record took effect.
    Void, ///< The record is valid but another one, or a rule, stands in its way.
    Malformed, ///< The record cannot be read; it has no effect.
};

/** @brief Rule that made a record void. The numbers are part of the snapshot format. */
enum class VoidReason : std::uint8_t {
    None = 0,
    FirstOffset = 1, ///< Offset 0 cannot be a version, because version 0 stands for "does not exist".
    Duplicate = 2, ///< The operation was folded at a lower offset.
    VersionMismatch = 3,
    NotFound = 4,
    DigestWithdrawn = 5, ///< The key's digest was withdrawn and is never accepted again.
    DigestFixed = 6, ///< The digest of an existing key does not change.
    DigestInUse = 7, ///< Another key has the digest.
    PrefixInUse = 8, ///< Another route has the prefix.
    MissingReference = 9, ///< The workspace or priority that it names does not exist.
    InUse = 10, ///< Other resources name it.
    AlreadyFolded = 11, ///< The offset is below the applied offset.
};
inline constexpr std::uint8_t VoidReasonCount = 12;

/** @return Text for people. */
[[nodiscard]] std::string_view toString(VoidReason reason) noexcept;

}
