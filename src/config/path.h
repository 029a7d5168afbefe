#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace berylspring::config::detail {

inline constexpr std::size_t MaxPrefixLength = 256;

/** @return Whether the prefix is valid for a route. */
[[nodiscard]] bool isValidPrefix(std::string_view prefix) noexcept;

/**
 * @brief Whether all servers interpret the path in the same way.
 *
 * Some servers normalize dot segments, empty segments, backslashes and ';', others take them literally. A request with
 * such a path could match an open route but reach a path that needs a key.
 */
[[nodiscard]] bool isUnambiguous(std::string_view path) noexcept;

/** @return The percent-decoded path; no value if the encoding is malformed or encodes a slash or backslash. */
[[nodiscard]] std::optional<std::string> decoded(std::string_view path);

}
