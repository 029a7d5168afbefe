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

/**
 * @brief Formats the answer of `/v1/explain`.
 * @return One line for each member of the answer, and for each service one line for each member and a table of the
 * endpoints, with blank lines between. Fractions are rounded. Text of another form is formatted as by toTable().
 */
[[nodiscard]] std::string explanationTable(std::string_view json);

}
