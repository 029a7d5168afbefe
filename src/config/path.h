#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace berylspring::config::detail {

inline constexpr std::size_t MaxPrefixLength = 256;

/** @return Whether a route may have the prefix. */
[[nodiscard]] bool isValidPrefix(std::string_view prefix) noexcept;

/**
 * @brief Whether all servers understand the path in the same way.
 *
 * Dot segments, empty segments, backslashes and ';' are resolved by some servers and taken literally by others. A
 * request with such a path could be matched to an open route and reach a path that needs a key.
 */
[[nodiscard]] bool isUnambiguous(std::string_view path) noexcept;

/** @return The path with percent-encoding removed, or nothing if it is malformed or hides a slash or backslash. */
[[nodiscard]] std::optional<std::string> decoded(std::string_view path);

}
