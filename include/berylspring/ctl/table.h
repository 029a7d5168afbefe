#pragma once

#include <string>
#include <string_view>

namespace berylspring::ctl {

/**
 * @brief Formats JSON as a table.
 * @param json An object with an array `items` of objects, or one object.
 * @return A header line with the member names and one line per item, or one line per member of a single object.
 * Text that is not a JSON object is returned unchanged.
 */
[[nodiscard]] std::string toTable(std::string_view json);

}
